import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import {
  applyLimit,
  createLimit,
  EVIDENCE_TTL_MS,
  type LimitEvent,
  type LimitState,
} from "./limit.ts";

setStrictInvariants(true);

const CFG = { coldLimit: 2, maxLimit: 32, minSuccesses: 4 };
const ok = (
  startedAt: number,
  slowness = 1,
  limitReached = true,
): LimitEvent => ({
  kind: "success",
  startedAt,
  slowness,
  limitReached,
});
const report = (sampledAt: number, cold: boolean): LimitEvent => ({
  kind: "report",
  sampledAt,
  cold,
});

/** Applies events one millisecond apart, starting at `from`. */
function applyAll(
  events: readonly LimitEvent[],
  state: LimitState = createLimit(CFG, 0),
  from = 1,
): LimitState {
  return events.reduce(
    (current, event, i) => applyLimit(current, event, from + i),
    state,
  );
}

/** Returns a limit raised by a warm report and good completions. */
function warmLimit(successes = 20): LimitState {
  const completions = Array.from({ length: successes }, (_, i) => ok(i + 1));
  return applyAll([report(1, false), ...completions]);
}

test("applyLimit() keeps the cold limit until enough successes", () => {
  // Fails when onSuccess() raises a cold limit.
  const successes = (count: number) =>
    Array.from({ length: count }, () => ok(1));
  assert.equal(applyAll(successes(3)).limit, 2);
  assert.equal(applyAll(successes(4)).cold, false);
  assert.equal(applyAll(successes(6)).limit, 4);
});

test("applyLimit() leaves cold start on a report sampled after the last cold sign", () => {
  assert.equal(applyAll([report(1, false)]).cold, false);
  // Fails when onReport() ignores the age of the report.
  assert.equal(applyAll([report(0, false)]).cold, true);
});

test("applyLimit() trusts a report of cold start over successes", () => {
  // Fails when onSuccess() ignores reportedColdAt, or when onReport() compares
  // with lastWarmAt instead of provenWarmAt.
  const cold = applyAll([
    report(1, true),
    ...Array.from({ length: 9 }, () => ok(2)),
  ]);
  assert.deepEqual([cold.limit, cold.cold], [2, true]);
  const served = applyLimit(warmLimit(), report(20, true), 40);
  assert.deepEqual([served.limit, served.cold], [2, true]);
});

test("applyLimit() ignores a cold report sampled before the proof of warmth", () => {
  // Fails when onReport() ignores provenWarmAt.
  const proven = applyAll(Array.from({ length: 9 }, () => ok(1)));
  assert.equal(applyLimit(proven, report(2, true), 40).cold, false);
});

test("applyLimit() does not increase while the limit is not reached", () => {
  // Fails when onSuccess() ignores `limitReached`.
  const idle = Array.from({ length: 50 }, () => ok(1, 1, false));
  assert.equal(applyAll([report(1, false), ...idle]).limit, 2);
});

test("applyLimit() decreases at once on a latency jump, once per round", () => {
  // Fails when BAD_SLOWNESS has no effect.
  const warm = warmLimit();
  const { limit } = warm;
  const once = applyLimit(warm, ok(30, 5), 40);
  assert.equal(once.limit, Math.floor(limit / 2));
  assert.equal(applyLimit(once, ok(31, 5), 41).limit, once.limit);
  assert.equal(applyLimit(once, ok(41, 5), 42).limit, Math.floor(limit / 4));
});

test("applyLimit() falls back to the cold limit on each sign of cold start", () => {
  const signs: LimitEvent[] = [
    { kind: "progress", startedAt: 30, cold: true },
    { kind: "failure", startedAt: 30, cold: true },
    report(39, true),
  ];
  signs.forEach((sign) => {
    const cold = applyLimit(warmLimit(), sign, 40);
    assert.deepEqual([cold.limit, cold.cold], [2, true], sign.kind);
  });
});

test("applyLimit() ignores evidence from before the last sign of cold start", () => {
  // Fails when onSuccess() or onReport() does not compare with lastColdAt.
  const cold = applyLimit(
    warmLimit(),
    { kind: "progress", startedAt: 30, cold: true },
    40,
  );
  const stale = applyAll(
    [...Array.from({ length: 9 }, () => ok(39)), report(40, false)],
    cold,
    41,
  );
  assert.deepEqual([stale.limit, stale.cold], [2, true]);
});

test("applyLimit() lets evidence of warmth expire", () => {
  // Fails when expireEvidence() returns the state unchanged.
  const warm = warmLimit();
  const later = applyLimit(warm, { kind: "tick" }, EVIDENCE_TTL_MS + 100);
  assert.deepEqual([later.limit, later.cold], [2, true]);
});

const eventArb: fc.Arbitrary<LimitEvent> = fc.oneof(
  fc.record({
    kind: fc.constant("success" as const),
    startedAt: fc.integer({ min: 0, max: 400 }),
    slowness: fc.double({ min: 0.5, max: 6, noNaN: true }),
    limitReached: fc.boolean(),
  }),
  fc.record({
    kind: fc.constantFrom("failure" as const, "progress" as const),
    startedAt: fc.integer({ min: 0, max: 400 }),
    cold: fc.boolean(),
  }),
  fc.record({
    kind: fc.constant("report" as const),
    sampledAt: fc.integer({ min: 0, max: 400 }),
    cold: fc.boolean(),
  }),
  fc.constant({ kind: "tick" as const }),
);

test("applyLimit() exceeds the cold limit only by evidence after the last cold sign", () => {
  fc.assert(
    fc.property(fc.array(eventArb, { maxLength: 200 }), (events) => {
      let state = createLimit(CFG, 0);
      let proofs = 0;
      events.forEach((event, now) => {
        const before = state;
        state = applyLimit(state, event, now);
        if (state.lastColdAt !== before.lastColdAt) proofs = 0;
        else if (
          event.kind === "success" && event.startedAt >= state.lastColdAt
        ) {
          proofs += 1;
        } else if (
          event.kind === "report" && !event.cold &&
          event.sampledAt > state.lastColdAt
        ) proofs += CFG.minSuccesses;
        if (state.limit > CFG.coldLimit) assert.ok(proofs > CFG.minSuccesses);
      });
    }),
    { seed: 5, numRuns: 500 },
  );
});
