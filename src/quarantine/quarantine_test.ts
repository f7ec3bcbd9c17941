import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  CRASH_TTL_MS,
  CrashEvidence,
  MAX_CRASHES,
  MAX_SUSPECTS,
} from "./crash_evidence.ts";
import { sharedSegments } from "./prompt_segments.ts";
import {
  findQuarantined,
  FIRST_PROBE_MS,
  MIN_CRASHES,
  MIN_CRASHES_ONCE_SERVED,
  probeDueAt,
  SETTLE_MS,
} from "./quarantine.ts";

const NEVER = () => false;
const CRASH_PAUSE_MS = 1_000;
/** Time at which all reports have arrived. */
const LATER = 1_000_000;

/** Evidence of one crash for each list of segments, a second apart. */
function crashes(
  prompts: readonly (readonly string[])[],
  inProgressMs = 50,
): CrashEvidence {
  return prompts.reduce(
    (evidence, ids, i) =>
      evidence.crashed({
        target: `t${i}`,
        at: (i + 1) * CRASH_PAUSE_MS,
        suspects: ids.map((id, depth) => ({ id, depth, inProgressMs })),
      }),
    new CrashEvidence(),
  );
}

function quarantined(
  evidence: CrashEvidence,
  hasServed: (segment: string) => boolean = NEVER,
  now = LATER,
): readonly string[] {
  return [...findQuarantined(evidence, { hasServed, now }).keys()];
}

test("findQuarantined() names the segment that all crashes have in common", () => {
  const evidence = crashes([["a", "x"], ["b", "x"], ["c", "x"]]);
  assert.deepEqual(quarantined(evidence), ["x"]);
  assert.deepEqual(quarantined(crashes([["a", "x"], ["b", "x"]])), []);
});

test("findQuarantined() spares segments that sound prompts share with it", () => {
  const evidence = crashes(Array(4).fill(["shared", "x"]));
  assert.deepEqual(quarantined(evidence), ["x"]);
  const served = (segment: string) => segment === "shared";
  const reversed = crashes(
    Array(MIN_CRASHES_ONCE_SERVED).fill(["x", "shared"]),
  );
  assert.deepEqual(quarantined(reversed, served), ["x"]);
});

test("findQuarantined() names each of several segments that crash targets", () => {
  const evidence = crashes([["x"], ["y"], ["x"], ["y"], ["x"], ["y"]]);
  assert.deepEqual(quarantined(evidence).toSorted(), ["x", "y"]);
});

test("findQuarantined() counts targets that end together once", () => {
  const evidence = Array.from({ length: 9 }, (_, i) => i).reduce(
    (evidence, i) =>
      evidence.crashed({
        target: `t${i}`,
        at: 5_000 + i * 20,
        suspects: [{ id: "a", depth: 0, inProgressMs: 400 }],
      }),
    new CrashEvidence(),
  );
  assert.deepEqual(quarantined(evidence), []);
});

test("findQuarantined() releases a segment on which a target wrote an answer", () => {
  const evidence = crashes(Array(3).fill(["x"]));
  const survived = evidence.survived("x", 4_000);
  assert.deepEqual(quarantined(survived), []);
  assert.equal(survived.isSuspect("x"), false);
  assert.deepEqual(quarantined(evidence.survived("x", 2_500)), []);
});

test("findQuarantined() needs more crashes once answers are known", () => {
  const few = crashes(Array(MIN_CRASHES_ONCE_SERVED - 1).fill(["x"]));
  assert.deepEqual(quarantined(few, () => true), []);
  const more = crashes(Array(MIN_CRASHES_ONCE_SERVED).fill(["x"]));
  assert.deepEqual(quarantined(more, () => true), ["x"]);
});

test("findQuarantined() gives the same result for any order of reports", () => {
  const reports = crashes([["a", "x"], ["b", "x"], ["a", "x"], ["a"], ["x"]])
    .crashes;
  const expected = quarantined(
    reports.reduce((all, one) => all.crashed(one), new CrashEvidence()),
  );
  fc.assert(fc.property(
    fc.shuffledSubarray([...reports, ...reports], {
      minLength: 2 * reports.length,
    }),
    (order) => {
      const evidence = order
        .reduce((all, one) => all.crashed(one), new CrashEvidence());
      assert.deepEqual(quarantined(evidence), expected);
    },
  ));
});

test("probeDueAt() backs off with each crash", () => {
  const pauseOf = (count: number) => {
    const evidence = crashes(Array(count).fill(["x"]));
    const found = findQuarantined(evidence, { hasServed: NEVER, now: LATER })
      .get("x");
    assert.ok(found);
    return probeDueAt(found, evidence) - found.lastCrashAt;
  };
  assert.equal(pauseOf(MIN_CRASHES), FIRST_PROBE_MS);
  assert.equal(pauseOf(MIN_CRASHES + 1), 4 * FIRST_PROBE_MS);
  assert.equal(pauseOf(MIN_CRASHES + 30), 1_800_000);
});

test("CrashEvidence stays bounded whatever prompts arrive", () => {
  const many = Array.from({ length: 2 * MAX_SUSPECTS }, (_, i) => `s${i}`);
  const evidence = crashes(
    Array.from({ length: MAX_CRASHES + 20 }, (_, i) => [`own${i}`, ...many]),
  );
  assert.equal(evidence.crashes.length, MAX_CRASHES);
  assert.ok(
    evidence.crashes.every(({ suspects }) => suspects.length <= MAX_SUSPECTS),
  );
  const last = evidence.crashes.at(-1)?.at ?? 0;
  assert.equal(evidence.pruned(last + CRASH_TTL_MS).crashes.length, 0);
});

test("sharedSegments() leaves out the last segment and bounds the rest", () => {
  assert.deepEqual(sharedSegments(["a", "b", "c"]), [
    { id: "a", depth: 0 },
    { id: "b", depth: 1 },
  ]);
  assert.deepEqual(sharedSegments(["a"]), []);
  const long = Array.from({ length: 1_000 }, (_, i) => `${i}`.repeat(20));
  const segments = sharedSegments(long);
  assert.equal(segments.length, 64);
  assert.ok(segments.every(({ id }) => id.length <= 32));
});

test("findQuarantined() waits for reports that may name the cause", () => {
  const early = crashes([["shared", "x"], ["shared", "x"], ["shared"]]);
  const crashAt = 3 * CRASH_PAUSE_MS;
  assert.deepEqual(quarantined(early, NEVER, crashAt), []);
  const complete = early.crashed({
    target: "t2",
    at: crashAt,
    suspects: [{ id: "x", depth: 1, inProgressMs: 50 }],
  });
  assert.deepEqual(quarantined(complete, NEVER, crashAt), ["x"]);
  assert.deepEqual(quarantined(early, NEVER, crashAt + SETTLE_MS), ["shared"]);
});

test("findQuarantined() waits until one of the crashes is settled", () => {
  const evidence = [0, 100, 200].reduce(
    (all, at) =>
      all.crashed({
        target: `t${at}`,
        at,
        suspects: [{ id: "x", depth: 1, inProgressMs: 50 }],
      }),
    new CrashEvidence(),
  );
  assert.deepEqual(quarantined(evidence, NEVER, 250), []);
  assert.deepEqual(quarantined(evidence, NEVER, SETTLE_MS), ["x"]);
});
