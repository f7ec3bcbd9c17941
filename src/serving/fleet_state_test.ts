import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  FleetState,
  LAPSE_GRACE_MS,
  type StateChange,
  TargetState,
} from "./fleet_state.ts";
import { catalogChange, pool, targetChange } from "./testing.ts";

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
