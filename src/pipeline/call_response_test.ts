import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  type CallEvent,
  digest,
  type StageResult,
  type TargetLoad,
} from "../model/mod.ts";
import {
  applyCallEvent,
  type CallResponse,
  createCallResponse,
} from "./call_response.ts";

const RUNS = 3_000;
const REPORT = { load: {} as TargetLoad, listsVersion: 1 };

const call = (id: string) => ({
  callId: id,
  stage: "s",
  fingerprint: `f-${id}`,
});
const resultOf = (id: string, text: string): StageResult => ({
  ...call(id),
  target: "t",
  output: { text },
  digest: digest({ text }),
  tokens: 1,
  serviceMs: 1,
  queuedMs: 0,
  replayed: false,
});
const result = (
  id: string,
  text: string,
  opts: { chunks: number } & Partial<StageResult>,
): CallEvent => {
  const { chunks, ...overrides } = opts;
  return {
    kind: "result",
    result: { ...resultOf(id, text), ...overrides },
    chunks,
    ...REPORT,
  };
};
const chunk = (id: string, seq: number, text: string): CallEvent => ({
  kind: "chunk",
  callId: id,
  seq,
  text,
});

/** Returns the kind of the step after the last event. */
const lastKind = (...events: CallEvent[]) => {
  let response: CallResponse = createCallResponse(call("a"));
  let kind = "";
  for (const event of events) {
    const step = applyCallEvent(response, event);
    kind = step.kind;
    if ("response" in step) response = step.response;
  }
  return kind;
};

test("a complete response stream is accepted", () => {
  const events = [chunk("a", 0, "x"), chunk("a", 1, "y")];
  assert.equal(lastKind(...events, result("a", "xy", { chunks: 2 })), "done");
});

test("events of other calls and duplicates are discarded", () => {
  assert.equal(lastKind(chunk("b", 0, "x")), "discarded");
  assert.equal(lastKind(result("b", "x", { chunks: 0 })), "discarded");
  assert.equal(lastKind(chunk("a", 0, "x"), chunk("a", 0, "x")), "discarded");
});

test("gaps, short streams and damaged results break a response", () => {
  const one = chunk("a", 0, "x");
  assert.equal(lastKind(chunk("a", 1, "y")), "broken");
  assert.equal(lastKind(one, result("a", "xy", { chunks: 2 })), "broken");
  assert.equal(lastKind(one, result("a", "z", { chunks: 1 })), "broken");
  const other = { chunks: 0, fingerprint: "f-b" };
  assert.equal(lastKind(result("a", "x", other)), "broken");
  const damaged = { chunks: 0, digest: "d" };
  assert.equal(lastKind(result("a", "x", damaged)), "broken");
});

/*
 * Guards against text or results of another call. It fails when chunks are not
 * checked for the call identifier, and when results are checked for neither
 * the call identifier nor the fingerprint.
 */
test("a response yields its own result and text, or none, in any order", () => {
  const events = ["a", "b"].flatMap((id) => [
    chunk(id, 0, `${id}0`),
    chunk(id, 1, `${id}1`),
    result(id, `${id}0${id}1`, { chunks: 2 }),
    result(id, `${id}0${id}1`, { chunks: 0 }),
  ]);
  const stream = fc.array(fc.constantFrom(...events), {
    minLength: 3,
    maxLength: 16,
    size: "max",
  });
  fc.assert(
    fc.property(stream, (received) => {
      let response: CallResponse = createCallResponse(call("a"));
      let streamed = "";
      for (const event of received) {
        const step = applyCallEvent(response, event);
        if (step.kind === "text") streamed += step.text;
        if ("response" in step) response = step.response;
        assert.ok("a0a1".startsWith(streamed));
        if (step.kind === "broken") return;
        if (step.kind !== "done") continue;
        assert.ok(streamed === "" || streamed === "a0a1");
        assert.deepEqual(step.result, resultOf("a", "a0a1"));
        return;
      }
    }),
    { numRuns: RUNS, seed: 4 },
  );
});
