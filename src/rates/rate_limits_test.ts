import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import type { PermitAnswer } from "../wire/mod.ts";
import { KnownLimits, LIMIT_TTL_MS } from "./known_limits.ts";
import { RateLimits } from "./rate_limits.ts";

const TARGET = "t1";
const WINDOW_MS = 4_000;
const LATENCY_MS = 2;

type Mode = "up" | "silent" | "refusing";

/** Entries that send requests to one target. */
class SimFleet {
  readonly entries: RateLimits[] = [];
  readonly modes: Mode[] = [];
  /** Entries that the others count as usable. */
  readonly usable = new Set<string>();
  /** Times of requests that were sent to the target. */
  sent: number[] = [];
  /** Limit that the target names; undefined for none. */
  perS: number | undefined;
  readonly #boards: NoticeBoard[] = [];
  readonly #peers: ListedPeer[] = [];

  constructor(count: number, perS: number | undefined) {
    this.perS = perS;
    for (let i = 0; i < count; i++) this.add();
  }

  /** Adds an entry, which knows no limit. */
  add(): void {
    const i = this.entries.length;
    const self = { name: `e${i}`, url: `u${i}`, failureDomain: "d" };
    const board = new NoticeBoard({ metrics: new Metrics() });
    this.#peers.push(self);
    this.#boards.push(board);
    this.usable.add(self.name);
    this.modes[i] = "up";
    this.entries.push(
      new RateLimits({
        self,
        fleet: {
          entries: () => this.#peers,
          isUsable: ({ name }) => this.usable.has(name),
        },
        ask: async (url, request, signal) => {
          const to = this.#peers.findIndex((peer) => peer.url === url);
          return await this.#call(
            i,
            to,
            signal,
            (entry) => entry.handlePermit(request),
          );
        },
        notices: board,
        log: SILENT_LOGGER,
        metrics: new Metrics(),
      }),
    );
  }

  entry(i: number): RateLimits {
    const entry = this.entries[i];
    if (!entry) throw new Error(`No entry ${i}`);
    return entry;
  }

  /** Sends a request through entry `i` if it may; returns whether it was. */
  async send(i: number): Promise<boolean> {
    const entry = this.entry(i);
    if (!entry.isOpen(TARGET) || !await entry.acquire(TARGET)) return false;
    const sentAt = monotonicMs();
    this.sent.push(sentAt);
    await sleep(LATENCY_MS);
    entry.observe({ target: TARGET, perS: this.perS, sentAt });
    return true;
  }

  /** Entries exchange notices, each with the next one. */
  sync(): void {
    this.#boards.forEach((board, i) => {
      const next = (i + 1) % this.#boards.length;
      const other = this.#boards[next];
      if (!other || this.modes[i] !== "up" || this.modes[next] !== "up") return;
      const response = other.respond(`e${i}`, board.messageTo(`e${next}`));
      board.handleResponse(`e${next}`, response);
    });
  }

  /** Each of the senders tries to send every `pauseMs`. */
  async load(
    senders: readonly number[],
    { pauseMs = 50, forMs = 12_000 } = {},
  ): Promise<void> {
    const endAt = monotonicMs() + forMs;
    const syncs = (async () => {
      while (monotonicMs() < endAt) {
        await sleep(400);
        this.sync();
      }
    })();
    await Promise.all([
      syncs,
      ...senders.map(async (i) => {
        while (monotonicMs() < endAt) {
          await this.send(i);
          await sleep(pauseMs);
        }
      }),
    ]);
  }

  /** Largest and smallest number of requests sent in a window. */
  windows(fromMs: number, toMs: number): { most: number; least: number } {
    const counts: number[] = [];
    for (let at = fromMs; at + WINDOW_MS <= toMs; at += 100) {
      counts.push(
        this.sent.filter((one) => one >= at && one < at + WINDOW_MS).length,
      );
    }
    return { most: Math.max(...counts), least: Math.min(...counts) };
  }

  async #call(
    from: number,
    to: number,
    signal: AbortSignal,
    respond: (entry: RateLimits) => Promise<PermitAnswer>,
  ): Promise<PermitAnswer> {
    await sleep(LATENCY_MS);
    const modes = [this.modes[from], this.modes[to]];
    if (modes.includes("refusing")) throw new Error("refused");
    if (modes.includes("silent")) {
      await new Promise((_, reject) =>
        signal.addEventListener("abort", () => reject(signal.reason))
      );
    }
    return await respond(this.entry(to));
  }
}

function allowed(perS: number): number {
  return 1.5 * perS * WINDOW_MS / 1_000 + 5;
}

/** Share of the limit that has to be used while callers ask for more. */
const MIN_USED_SHARE = 0.9;

function assertKept(
  fleet: SimFleet,
  opts: { perS: number; from: number; to: number; minShare?: number },
): void {
  const { perS, from, to, minShare = MIN_USED_SHARE } = opts;
  const { most, least } = fleet.windows(from, to);
  assert.ok(most <= allowed(perS), `${most} of ${allowed(perS)}`);
  const wanted = Math.floor(minShare * perS * WINDOW_MS / 1_000);
  assert.ok(least >= wanted, `${least} of at least ${wanted}`);
}

[1, 2, 5, 20].forEach((perS) =>
  [1, 4, 12].forEach((count) =>
    test(`${count} entries keep and use a limit of ${perS} a second`, () =>
      withPausedClock(async () => {
        const fleet = new SimFleet(count, perS);
        const startAt = monotonicMs();
        await fleet.load(Array.from({ length: count }, (_, i) => i), {
          pauseMs: 30,
        });
        assertKept(fleet, { perS, from: startAt + 3_000, to: monotonicMs() });
      }, { seed: perS }))
  )
);

test("one entry of many uses the whole limit", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(12, 2);
    const startAt = monotonicMs();
    await fleet.load([3]);
    assertKept(fleet, { perS: 2, from: startAt + 3_000, to: monotonicMs() });
  }, { seed: 1 }));

(["refusing", "silent"] as const).forEach((mode) =>
  test(`the limit holds when the entry that permits requests is ${mode}`, () =>
    withPausedClock(async () => {
      for (let lost = 0; lost < 4; lost++) {
        const fleet = new SimFleet(4, 4);
        const others = [0, 1, 2, 3].filter((i) => i !== lost);
        const startAt = monotonicMs();
        await fleet.load(others, { forMs: 5_000 });
        fleet.modes[lost] = mode;
        await fleet.load(others, { forMs: 2_000 });
        fleet.usable.delete(`e${lost}`);
        await fleet.load(others);
        const to = monotonicMs();
        assertKept(fleet, { perS: 4, from: startAt + 3_000, to, minShare: 0 });
        assertKept(fleet, { perS: 4, from: startAt + 10_000, to });
        fleet.modes[lost] = "up";
        fleet.usable.add(`e${lost}`);
        await fleet.load([0, 1, 2, 3]);
        assertKept(fleet, { perS: 4, from: to, to: monotonicMs() });
      }
    }, { seed: 2 }))
);

test("entries that are cut off from the others use their shares only", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(4, 4);
    await fleet.load([0, 1, 2, 3], { forMs: 4_000 });
    fleet.modes[1] = "refusing";
    const startAt = monotonicMs();
    await fleet.load([0, 1, 2, 3]);
    assertKept(fleet, {
      perS: 4,
      from: startAt,
      to: monotonicMs(),
      minShare: 0.7,
    });
  }, { seed: 3 }));

test("entries that are added learn the limit from the others", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(3, 2);
    await fleet.load([0, 1, 2], { forMs: 5_000 });
    for (let i = 0; i < 5; i++) fleet.add();
    const startAt = monotonicMs();
    await fleet.load([0, 1, 2, 3, 4, 5, 6, 7]);
    assertKept(fleet, { perS: 2, from: startAt + 3_000, to: monotonicMs() });
  }, { seed: 4 }));

test("a limit ends everywhere with an answer that names none", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(4, 2);
    await fleet.load([0, 1, 2, 3], { forMs: 4_000 });
    fleet.perS = undefined;
    await fleet.load([0, 1, 2, 3], { forMs: 2_000 });
    fleet.sent = [];
    await fleet.load([0, 1, 2, 3], { forMs: 1_000 });
    assert.ok(fleet.sent.length > 60, `${fleet.sent.length}`);
  }, { seed: 5 }));

test("an answer to an earlier request does not end a limit", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(1, 2);
    const sentAt = monotonicMs();
    await sleep(10);
    await fleet.send(0);
    fleet.entry(0).observe({ target: TARGET, sentAt });
    assert.equal(fleet.entry(0).isLimited(TARGET), true);
  }, { seed: 6 }));

test("a target with a limit of zero gets nothing until the limit expires", () =>
  withPausedClock(async () => {
    const fleet = new SimFleet(2, 0);
    await fleet.send(0);
    fleet.sync();
    fleet.sent = [];
    await fleet.load([0, 1], { forMs: LIMIT_TTL_MS - 2_000 });
    assert.equal(fleet.sent.length, 0);
  }, { seed: 7 }));

test("KnownLimits keeps the newest limit and expires", () => {
  const limits = new KnownLimits()
    .with(TARGET, { perS: 1, at: 1_000 })
    .with(TARGET, { perS: 5, at: 500 });
  assert.equal(limits.perSOf(TARGET, 2_000), 1);
  assert.equal(limits.perSOf(TARGET, 1_000 + LIMIT_TTL_MS), undefined);
  const slow = new KnownLimits().with(TARGET, { perS: 0.02, at: 0 });
  assert.equal(slow.perSOf(TARGET, 100_000), 0.02);
  const many = Array.from({ length: 10_000 }, (_, i) => i)
    .reduce(
      (all, i) => all.with(`t${i}`, { perS: 1, at: i }),
      new KnownLimits(),
    );
  assert.ok(many.limited(10_000).length <= 4_096);
});
