import assert from "node:assert/strict";
import { test } from "node:test";
import type { BuildHolder } from "../serving/mod.ts";
import { pool, targetChange } from "../serving/testing.ts";
import { withPausedClock } from "../testing/mod.ts";
import { TargetTracker } from "./target_tracker.ts";
import { NO_PAUSES, stateOf } from "./testing.ts";

const POOL = pool("plain");
const RESERVATIONS = 40;
/** Failures after which a target is ejected. */
const MANY_FAILURES = 20;

function trackerOf(builds: Readonly<Record<string, string | undefined>>) {
  const state = stateOf(
    Object.entries(builds).map(([id, build], i) =>
      targetChange(id, i + 1, { build, failureDomain: `domain-of-${id}` })
    ),
  );
  return new TargetTracker({
    rates: { isOpen: () => true, expectedWaitMs: () => 0 },
    pauses: NO_PAUSES,
    state: () => state,
    processes: () => ["gateway"],
    self: { name: "gateway", failureDomain: "d1" },
    repeats: { ratio: 1, windowMs: 1_000, allowance: 100 },
  });
}

/** Targets that the tracker chooses for many requests and prompt prefixes. */
function chosen(
  tracker: TargetTracker,
  sameBuildAs?: BuildHolder,
  exclude: ReadonlySet<string> = new Set(),
): string[] {
  const ids = Array.from({ length: RESERVATIONS }, (_, i) => {
    const affinity = i % 2 === 0 ? undefined : `prefix-${i}`;
    const reservation = tracker.reserve(POOL, {
      affinity,
      exclude,
      sameBuildAs,
    });
    reservation?.discarded();
    return reservation?.target.id ?? "none";
  });
  return [...new Set(ids)].sort();
}

const TWO_BUILDS = { a: "v1", b: "v1", c: "v2" };

test("TargetTracker.reserve() chooses freely without a required build", () =>
  withPausedClock(() => {
    assert.deepEqual(chosen(trackerOf(TWO_BUILDS)), ["a", "b", "c"]);
    return Promise.resolve();
  }, { seed: 1 }));

test("TargetTracker.reserve() keeps to a required build with and without affinity", () =>
  withPausedClock(() => {
    const tracker = trackerOf(TWO_BUILDS);
    assert.deepEqual(chosen(tracker, { build: "v1" }), ["a", "b"]);
    assert.deepEqual(chosen(tracker, { build: "v2" }), ["c"]);
    assert.deepEqual(chosen(tracker, { build: "v3" }), ["none"]);
    assert.deepEqual(chosen(tracker, { build: "v2" }, new Set("c")), ["none"]);
    return Promise.resolve();
  }, { seed: 2 }));

test("TargetTracker.reserve() matches an unreported build only with another one", () =>
  withPausedClock(() => {
    const tracker = trackerOf({ a: "v1", b: undefined });
    assert.deepEqual(chosen(tracker, { build: undefined }), ["b"]);
    assert.deepEqual(chosen(tracker, { build: "v1" }), ["a"]);
    return Promise.resolve();
  }, { seed: 3 }));

test("TargetTracker.reserve() takes an ejected target rather than another build", () =>
  withPausedClock(() => {
    const tracker = trackerOf({ a: "v1", b: "v2", c: "v2", d: "v2" });
    for (let i = 0; i < MANY_FAILURES; i++) {
      tracker.reserve(POOL, {
        exclude: new Set(),
        sameBuildAs: { build: "v1" },
      })?.failed();
    }
    assert.deepEqual(chosen(tracker), ["b", "c", "d"]);
    assert.deepEqual(chosen(tracker, { build: "v1" }), ["a"]);
    return Promise.resolve();
  }, { seed: 4 }));

test("TargetTracker.preferredDomain() is that of a target of the required build", () =>
  withPausedClock(() => {
    const tracker = trackerOf(TWO_BUILDS);
    const domains = Array.from(
      { length: RESERVATIONS },
      (_, i) => tracker.preferredDomain(POOL, `prefix-${i}`, { build: "v2" }),
    );
    assert.deepEqual([...new Set(domains)], ["domain-of-c"]);
    return Promise.resolve();
  }, { seed: 5 }));
