import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BUILD_MEMORY_MS } from "./builds.ts";
import { RouteKind } from "./catalog.ts";
import { FleetState } from "./fleet_state.ts";
import { LAPSE_GRACE_MS } from "./target_record.ts";
import { type StateChange, TargetState } from "./state_change.ts";
import { versionInEra } from "./store_version.ts";
import { catalogChange, pool, route, targetChange } from "./testing.ts";

function ids(state: FleetState, now: number): string[] {
  return state.usable("plain", now).map(({ id }) => id).sort();
}

test("FleetState.apply() reaches the same state in any order", () => {
  const change = fc.record({
    id: fc.constantFrom("a", "b", "c"),
    version: fc.integer({ min: 1, max: 30 }),
    state: fc.constantFrom("ready", "draining", "gone"),
  });
  // A row has exactly one value for each version.
  const changes = fc.uniqueArray(change, {
    selector: ({ id, version }) => `${id}/${version}`,
    maxLength: 20,
  });
  fc.assert(fc.property(
    changes.chain((all) =>
      fc.tuple(
        fc.constant(all),
        fc.shuffledSubarray(all, { minLength: all.length }),
      )
    ),
    ([all, shuffled]) => {
      const toChange = (one: typeof all[number]): StateChange =>
        one.state === "gone"
          ? { kind: "target", version: one.version, id: one.id }
          : targetChange(one.id, one.version, {
            state: one.state as TargetState,
          });
      const whole = new FleetState().apply(all.map(toChange), 0);
      const single = shuffled.map(toChange).reduce(
        (state, change) => state.apply([change, change], 0),
        new FleetState(),
      );
      assert.deepEqual(ids(single, 1), ids(whole, 1));
      const copied = new FleetState().apply(whole.changes(), 0);
      assert.deepEqual(ids(copied, 1), ids(whole, 1));
    },
  ));
});

test("FleetState.apply() never reverts to an older catalog", () => {
  const state = new FleetState()
    .apply([catalogChange({ version: 7 }, 20)], 0)
    .apply([catalogChange({ version: 5 }, 10)], 0);
  assert.equal(state.catalog?.version, 7);
});

test("FleetState.usable() excludes draining targets and domains out", () => {
  const state = new FleetState().apply([
    targetChange("a", 1),
    targetChange("b", 2, { state: TargetState.Draining }),
    targetChange("c", 3, { failureDomain: "d2" }),
  ], 0);
  assert.deepEqual(ids(state, 0), ["a", "c"]);
  const out = state.apply([
    { kind: "domain", version: 4, failureDomain: "d2", isOut: true },
  ], 0);
  assert.deepEqual(ids(out, 0), ["a"]);
  const back = out.apply([
    { kind: "domain", version: 5, failureDomain: "d2", isOut: false },
  ], 0);
  assert.deepEqual(ids(back, 0), ["a", "c"]);
});

test("FleetState.usable() keeps a lapsed target for the grace period", () => {
  const lapsed = new FleetState().apply([targetChange("a", 1)], 0).apply([
    { kind: "target", version: 2, id: "a", hasLapsed: true },
  ], 100);
  assert.deepEqual(ids(lapsed, 100 + LAPSE_GRACE_MS - 1), ["a"]);
  assert.deepEqual(ids(lapsed, 100 + LAPSE_GRACE_MS), []);
  const back = lapsed.apply([targetChange("a", 3)], 200);
  assert.deepEqual(ids(back, 100 + LAPSE_GRACE_MS), ["a"]);
});

test("FleetState.usable() removes a lapsed draining target at once", () => {
  const state = new FleetState()
    .apply([targetChange("a", 1, { state: TargetState.Draining })], 0)
    .apply([{ kind: "target", version: 2, id: "a", hasLapsed: true }], 0);
  assert.deepEqual(ids(state, 0), []);
});

test("FleetState.isCold() treats a domain that returns as cold", () => {
  const state = new FleetState().apply([
    catalogChange({ pools: [pool("plain", { coldMs: 3_000, coldPerS: 10 })] }),
    targetChange("a", 2),
    targetChange("b", 3, { coldMs: 1_000 }),
    { kind: "domain", version: 4, failureDomain: "d1", isOut: true },
  ], 0);
  assert.equal(state.isCold("a", 0), false);
  assert.equal(state.isCold("b", 999), true);
  assert.equal(state.isCold("b", 1_000), false);
  const back = state.apply([
    { kind: "domain", version: 5, failureDomain: "d1", isOut: false },
  ], 5_000);
  assert.equal(back.isCold("a", 7_999), true);
  assert.equal(back.isCold("a", 8_000), false);
});

const RESUMABLE = catalogChange({
  routes: [route({ kind: RouteKind.Stream, isResumable: true })],
});
const TARGET_ROW = fc.record({
  id: fc.constantFrom("a", "b"),
  version: fc.integer({ min: 1, max: 30 }),
  pool: fc.constantFrom("plain", "other"),
  build: fc.constantFrom("v1", "v2", "v3"),
});

test("FleetState.buildsOf() knows each build that a row showed, in any order", () => {
  // A row has exactly one value for each version.
  const rows = fc.uniqueArray(TARGET_ROW, {
    selector: ({ id, version }) => `${id}/${version}`,
    maxLength: 12,
  });
  fc.assert(fc.property(
    rows.chain((all) => fc.shuffledSubarray(all, { minLength: all.length })),
    (all) => {
      const changes = all.flatMap(({ id, version, pool, build }) => [
        targetChange(id, version, { pool, build }),
        { kind: "target", version: 100, id } as const,
      ]);
      const state = new FleetState().apply(changes, 0);
      const copy = new FleetState().apply(state.changes(), 0);
      for (const pool of ["plain", "other"]) {
        const expected = new Set(
          all.filter((one) => one.pool === pool).map(({ build }) => build),
        );
        assert.deepEqual(new Set(state.buildsOf(pool, 1)), expected);
        assert.deepEqual(new Set(copy.buildsOf(pool, 1)), expected);
      }
    },
  ));
});

test("FleetState.unrecordedBuilds lists builds until their records arrive, in any order", () => {
  const record = fc.record({
    build: fc.constantFrom("v1", "v2", "v3"),
    version: fc.integer({ min: 1, max: 9 }),
  });
  fc.assert(fc.property(
    fc.array(fc.oneof(TARGET_ROW, record), { maxLength: 12 }),
    (all) => {
      const changes = all.map((one): StateChange =>
        "id" in one
          ? targetChange(one.id, one.version, { build: one.build })
          : { kind: "build", pool: "plain", ...one }
      );
      const recorded = new Set(
        all.flatMap((one) => "id" in one ? [] : one.build),
      );
      const expected = all
        .flatMap((one) => "id" in one ? one.build : [])
        .filter((build) => !recorded.has(build));
      const state = new FleetState().apply([RESUMABLE, ...changes], 0);
      assert.deepEqual(
        new Set(state.unrecordedBuilds().map(({ build }) => build)),
        new Set(expected),
      );
    },
  ));
});

test("FleetState.buildsOf() forgets a build some time after its last target", () => {
  const both = new FleetState().apply([
    targetChange("a", 1, { build: "v1" }),
    targetChange("b", 2, { build: "v2" }),
  ], 0);
  const late = 10 * BUILD_MEMORY_MS;
  assert.deepEqual(both.buildsOf("plain", late), ["v1", "v2"]);
  const left = both.apply([{ kind: "target", version: 3, id: "a" }], late);
  const forgottenAt = late + BUILD_MEMORY_MS;
  assert.deepEqual(left.buildsOf("plain", forgottenAt - 1), ["v2", "v1"]);
  assert.deepEqual(left.buildsOf("plain", forgottenAt), ["v2"]);
});

test("FleetState.buildsOf() counts a recorded build from when the record arrives", () => {
  const state = new FleetState().apply([
    { kind: "build", version: 4, pool: "plain", build: "v1" },
  ], 500);
  assert.deepEqual(state.buildsOf("plain", BUILD_MEMORY_MS), ["v1"]);
  assert.deepEqual(state.buildsOf("plain", 500 + BUILD_MEMORY_MS), []);
  assert.deepEqual(state.buildsOf("other", 500), []);
});

test("FleetState.buildsOf() holds undefined for listed targets without a build", () => {
  const state = new FleetState().apply([
    targetChange("a", 1, { build: "v1" }),
    targetChange("b", 2),
  ], 0);
  assert.deepEqual(state.buildsOf("plain", 0), ["v1", undefined]);
  const left = state.apply([{ kind: "target", version: 3, id: "b" }], 0);
  assert.deepEqual(left.buildsOf("plain", 0), ["v1"]);
});

test("a restored store brings a removed target back only once it reports again", () => {
  const row = (era: number, report: number) =>
    targetChange("a", versionInEra(era, 10 + report), { bornMs: 7, report });
  const removed: StateChange = { kind: "target", version: 30, id: "a" };
  const gone = new FleetState().apply([row(0, 3), removed], 0);
  const copied = gone.apply([row(1, 7)], 0);
  assert.deepEqual(ids(copied, 0), []);
  assert.deepEqual(ids(copied.apply([row(1, 6), row(1, 7)], 0), 0), []);
  assert.deepEqual(ids(copied.apply([row(1, 8)], 0), 0), ["a"]);
});

test("FleetState.withLeaving() keeps one start of a target from new work", () => {
  const listed = (version: number, bornMs?: number) =>
    targetChange("a", version, { bornMs });
  const leaving = new FleetState().apply([listed(1, 7)], 0)
    .withLeaving({ id: "a", bornMs: 7 });
  assert.deepEqual(ids(leaving, 0), []);
  assert.deepEqual(ids(leaving.apply([listed(2, 7)], 0), 0), []);
  assert.deepEqual(ids(leaving.apply([listed(2, 8)], 0), 0), ["a"]);
});

test("FleetState.withLeaving() works before the target is listed", () => {
  const leaving = new FleetState().withLeaving({ id: "a", bornMs: 7 });
  const listed = leaving.apply([targetChange("a", 1, { bornMs: 7 })], 0);
  assert.deepEqual(ids(listed, 0), []);
});

test("a target without a known start takes work once its row was removed", () => {
  const removed: StateChange = { kind: "target", version: 2, id: "a" };
  const leaving = new FleetState().apply([targetChange("a", 1)], 0)
    .withLeaving({ id: "a" });
  const back = targetChange("a", 3);
  assert.deepEqual(ids(leaving.apply([removed, back], 0), 0), ["a"]);
  const lapsed = { ...removed, hasLapsed: true };
  assert.deepEqual(ids(leaving.apply([lapsed, back], 0), 0), []);
});

test("a start of a target that leaves gets no work, whatever is heard later", () => {
  const startMs = fc.integer({ min: 1, max: 3 });
  const leaves = fc.record({ kind: fc.constant("leaves" as const), startMs });
  const row = fc.record({
    kind: fc.constant("row" as const),
    startMs: fc.option(startMs),
    state: fc.constantFrom(...Object.values(TargetState)),
    era: fc.integer({ min: 0, max: 2 }),
    version: fc.integer({ min: 1, max: 20 }),
    report: fc.integer({ min: 1, max: 9 }),
    hasLapsed: fc.boolean(),
  });
  const event = fc.oneof(leaves, row);
  const toChange = (
    one: typeof row extends fc.Arbitrary<infer R> ? R : never,
  ) =>
    one.startMs === null
      ? {
        kind: "target" as const,
        id: "a",
        version: versionInEra(one.era, one.version),
        hasLapsed: one.hasLapsed,
      }
      : targetChange("a", versionInEra(one.era, one.version), {
        bornMs: one.startMs,
        state: one.state,
        report: one.report,
      });
  fc.assert(fc.property(fc.array(event, { maxLength: 20 }), (events) => {
    const left = new Set<number | undefined>();
    events.reduce((before, one) => {
      const state = one.kind === "leaves"
        ? before.withLeaving({ id: "a", bornMs: one.startMs })
        : before.apply([toChange(one)], 0);
      if (one.kind === "leaves") left.add(one.startMs);
      const used = state.usable("plain", 0).map(({ bornMs }) => bornMs);
      assert.deepEqual(used.filter((bornMs) => left.has(bornMs)), []);
      return state;
    }, new FleetState());
  }));
});

test("FleetState keeps a bounded number of leaving targets", () => {
  const names = Array.from({ length: 10_000 }, (_, i) => `t${i}`);
  const state = names.reduce(
    (state, id) => state.withLeaving({ id }),
    new FleetState(),
  );
  const kept = names.filter((id) => state.isLeaving({ id }));
  assert.ok(kept.length <= 4_096);
  assert.ok(kept.includes("t9999"));
});
