import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs } from "../kernel/mod.ts";
import { Metrics } from "../telemetry/mod.ts";
import { MAX_NOTICES } from "../wire/mod.ts";
import { MAX_KEPT_NOTICES, NoticeBoard } from "./notice_board.ts";

/** Board of a process, with the segments that it has heard of. */
class Process {
  readonly board = new NoticeBoard({ metrics: new Metrics() });
  readonly heard: string[] = [];
  readonly name: string;

  constructor(name: string) {
    this.name = name;
    this.board.onNotice("segment-survived", (notice) => {
      if (notice.kind !== "segment-survived") return;
      if (this.heard.includes(notice.segment)) return;
      this.heard.push(notice.segment);
      this.post(notice.segment);
    });
  }

  post(segment: string): void {
    const body = { kind: "segment-survived", segment } as const;
    this.board.post(segment, body, monotonicMs());
  }

  /** Exchanges notices with a peer; returns the number that crossed. */
  sync(peer: Process): number {
    const message = this.board.messageTo(peer.name);
    const response = peer.board.respond(this.name, message);
    this.board.handleResponse(peer.name, response);
    return [message, response]
      .reduce((sum, { notices = [] }) => sum + notices.length, 0);
  }
}

test("a notice crosses each link once, in both directions", () => {
  const [a, b] = [new Process("a"), new Process("b")];
  a.post("x");
  b.post("y");
  assert.equal(a.sync(b), 2);
  assert.deepEqual([a.heard, b.heard], [["y"], ["x"]]);
  assert.equal(a.sync(b), 0);
  assert.equal(b.sync(a), 0);
});

test("a peer that restarts hears all notices again", () => {
  const [a, b] = [new Process("a"), new Process("b")];
  ["x", "y"].forEach((one) => a.post(one));
  a.sync(b);
  const restarted = new Process("b");
  a.sync(restarted);
  a.sync(restarted);
  assert.deepEqual(restarted.heard, ["x", "y"]);
  assert.equal(a.sync(restarted), 0);
});

test("a notice reaches a process through others", () => {
  const [a, b, c] = [new Process("a"), new Process("b"), new Process("c")];
  a.post("x");
  b.sync(a);
  c.sync(b);
  assert.deepEqual(c.heard, ["x"]);
});

test("a long backlog crosses in bounded messages", () => {
  const [a, b] = [new Process("a"), new Process("b")];
  for (let i = 0; i < 3 * MAX_NOTICES; i++) a.post(`s${i}`);
  for (let i = 0; i < 4; i++) assert.ok(a.sync(b) <= MAX_NOTICES);
  assert.equal(b.heard.length, 3 * MAX_NOTICES);
});

test("the number of notices is bounded", () => {
  const [a, b] = [new Process("a"), new Process("b")];
  for (let i = 0; i < 2 * MAX_KEPT_NOTICES; i++) a.post(`s${i}`);
  for (let i = 0; i < 20; i++) a.sync(b);
  assert.equal(b.heard.length, MAX_KEPT_NOTICES);
});

test("malformed notices and unknown kinds are ignored", () => {
  const a = new Process("a");
  const response = a.board.respond("b", {
    sent: { start: "s", upTo: 3 },
    notices: [null, { kind: "later" }, { kind: "segment-survived" }],
  });
  assert.deepEqual(a.heard, []);
  assert.equal(response.known?.upTo, 3);
});

test("a process without use for a notice passes it on", () => {
  const [a, c] = [new Process("a"), new Process("c")];
  const relay = new NoticeBoard({ metrics: new Metrics() });
  a.post("x");
  const pass = (from: NoticeBoard, to: NoticeBoard, names: string[]) =>
    from.handleResponse(
      names[1] ?? "",
      to.respond(names[0] ?? "", from.messageTo(names[1] ?? "")),
    );
  pass(a.board, relay, ["a", "relay"]);
  pass(c.board, relay, ["c", "relay"]);
  assert.deepEqual(c.heard, ["x"]);
});
