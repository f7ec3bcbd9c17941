import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import {
  applyHealth,
  createHealth,
  DEFAULT_HEALTH,
  ejectedCount,
  type HealthEvent,
  INITIAL_WEIGHT,
  maxEjected,
  type PoolHealth,
  weightOf,
} from "./health.ts";

setStrictInvariants(true);

const SEED = 31;
const IDS = Array.from({ length: 9 }, (_, i) => `t${i}`);
const {
  baseEjectionMs,
  maxEjectionMs,
  maxConsecutiveFailures,
  slowStartMs,
} = DEFAULT_HEALTH;

const pool = (size: number): PoolHealth =>
  applyHealth(createHealth(), members(IDS.slice(0, size)), 0);

const fail = (target: string): HealthEvent => ({ kind: "failed", target });
const members = (targets: readonly string[]): HealthEvent => ({
  kind: "members",
  targets,
});
const done = (target: string, serviceMs = 100): HealthEvent => ({
  kind: "done",
  target,
  stage: "s",
  serviceMs,
});

/** Applies the same event `times` times at time `at`. */
const repeat = (
  state: PoolHealth,
  event: HealthEvent,
  { times, at }: { times: number; at: number },
) =>
  Array.from({ length: times }, () => event)
    .reduce((now, one) => applyHealth(now, one, at), state);

const anyEvent: fc.Arbitrary<HealthEvent> = fc.oneof(
  { weight: 6, arbitrary: fc.constantFrom(...IDS).map(fail) },
  {
    weight: 3,
    arbitrary: fc.tuple(
      fc.constantFrom(...IDS),
      fc.integer({ min: 1, max: 5_000 }),
    ).map(([id, ms]) => done(id, ms)),
  },
  {
    weight: 1,
    arbitrary: fc.integer({ min: 1, max: IDS.length })
      .map((size) => members(IDS.slice(0, size))),
  },
);
const history = fc.array(
  fc.record({
    event: anyEvent,
    /** Repeats the event, so that failures come in bursts that eject. */
    times: fc.integer({ min: 1, max: 5 }),
    afterMs: fc.integer({ min: 0, max: 3_000 }),
  }),
  { maxLength: 120 },
);

// Fails without the comparison with maxEjected() in eject(), and without the
// end of surplus ejections in replaceMembers().
test("applyHealth() never ejects more than the bounded share", () => {
  fc.assert(
    fc.property(history, (steps) => {
      let state = pool(IDS.length);
      let now = 0;
      steps.forEach(({ event, times, afterMs }) => {
        now += afterMs;
        state = repeat(state, event, { times, at: now });
        assert.ok(ejectedCount(state, now) <= maxEjected(state));
      });
    }),
    { seed: SEED, numRuns: 300 },
  );
});

// Fails without the upper bound `maxEjectionMs` in eject().
test("applyHealth() bounds the duration of an ejection", () => {
  let state = repeat(pool(6), fail("t0"), {
    times: maxConsecutiveFailures,
    at: 0,
  });
  let now = 0;
  for (let i = 0; i < 10; i += 1) {
    now += maxEjectionMs;
    assert.ok(weightOf(state, "t0", now) > 0);
    state = repeat(state, fail("t0"), {
      times: maxConsecutiveFailures,
      at: now,
    });
  }
});

test("applyHealth() restores full weights when no events follow", () => {
  fc.assert(
    fc.property(history, (steps) => {
      let state = pool(IDS.length);
      let now = 0;
      steps.forEach(({ event, times, afterMs }) => {
        now += afterMs;
        state = repeat(state, event, { times, at: now });
      });
      const later = now + maxEjectionMs + slowStartMs;
      [...state.targets.keys()].forEach((id) =>
        assert.equal(weightOf(state, id, later), 1)
      );
    }),
    { seed: SEED, numRuns: 200 },
  );
});

test("applyHealth() ejects only after consecutive failures", () => {
  const almost = repeat(pool(6), fail("t0"), {
    times: maxConsecutiveFailures - 1,
    at: 0,
  });
  assert.equal(weightOf(almost, "t0", 0), 1);
  assert.equal(weightOf(applyHealth(almost, fail("t0"), 0), "t0", 0), 0);
  const afterSuccess = applyHealth(almost, done("t0"), 0);
  assert.equal(weightOf(applyHealth(afterSuccess, fail("t0"), 0), "t0", 0), 1);
});

// Fails with weightOf() returning 1 as soon as the ejection ends.
test("weightOf() rises gradually after an ejection", () => {
  const state = repeat(pool(6), fail("t0"), {
    times: maxConsecutiveFailures,
    at: 0,
  });
  assert.equal(weightOf(state, "t0", baseEjectionMs - 1), 0);
  assert.equal(weightOf(state, "t0", baseEjectionMs), INITIAL_WEIGHT);
  const midway = weightOf(state, "t0", baseEjectionMs + slowStartMs / 2);
  assert.ok(midway > 0.4 && midway < 0.7);
  assert.equal(weightOf(state, "t0", baseEjectionMs + slowStartMs), 1);
});

// Fails with `ejections` always zero.
test("applyHealth() ejects a returning target sooner and for longer", () => {
  const first = repeat(pool(6), fail("t0"), {
    times: maxConsecutiveFailures,
    at: 0,
  });
  const again = applyHealth(first, fail("t0"), baseEjectionMs + 1);
  assert.equal(
    weightOf(again, "t0", baseEjectionMs + 1 + 2 * baseEjectionMs - 1),
    0,
  );
  assert.ok(weightOf(again, "t0", baseEjectionMs + 1 + 2 * baseEjectionMs) > 0);
});

// Fails with `isSlow` always false.
test("applyHealth() ejects a target that is far slower than the others", () => {
  let state = pool(6);
  for (let i = 0; i < 60; i += 1) {
    IDS.slice(0, 6).forEach((id) => {
      state = applyHealth(state, done(id, id === "t0" ? 1_500 : 100), i);
    });
  }
  assert.equal(weightOf(state, "t0", 60), 0);
  assert.equal(ejectedCount(state, 60), 1);
});

test("applyHealth() ejects no target when all become slow together", () => {
  let state = pool(6);
  for (let i = 0; i < 200; i += 1) {
    IDS.slice(0, 6).forEach((id) => {
      state = applyHealth(state, done(id, 100 * 1.05 ** (i / 2)), i);
    });
  }
  assert.equal(ejectedCount(state, 200), 0);
});
