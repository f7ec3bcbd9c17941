import assert from "node:assert/strict";
import { test } from "node:test";
import type { StageSpec } from "./catalog.ts";
import { StagePlan } from "./stage_plan.ts";

const STAGES: readonly StageSpec[] = [
  { pool: "a", after: [], resultBytes: 1 },
  { pool: "b", after: [0], resultBytes: 1 },
  { pool: "a", after: [], resultBytes: 1 },
];

function ready(plan: StagePlan): number[] {
  return plan.ready().map(({ index }) => index);
}

test("StagePlan starts a stage only after all its inputs are done", () => {
  let plan = StagePlan.of(STAGES, [1, 2, 1]);
  assert.deepEqual(ready(plan), [0, 2]);
  plan = plan.start(0).start(2).finish(2, ["x/3"]);
  assert.deepEqual(ready(plan), []);
  plan = plan.finish(0, ["x/1"]);
  assert.deepEqual(ready(plan), [1]);
  const [stage] = plan.ready();
  assert.deepEqual(stage && plan.inputsOf(stage), ["x/1"]);
  plan = plan.start(1).finish(1, ["y/1", "y/2"]);
  assert.ok(plan.isDone);
  assert.deepEqual(plan.finalResults(), ["y/1", "y/2", "x/3"]);
  assert.deepEqual(
    plan.unneededResults().flatMap(({ results }) => results),
    ["x/1"],
  );
});

test("StagePlan skips stages without pieces", () => {
  const plan = StagePlan.of(STAGES, [1, 1, 0]);
  assert.deepEqual(ready(plan), [0]);
  assert.deepEqual(
    plan.finish(0, ["x/1"]).finish(1, ["y/1"]).finalResults(),
    ["y/1"],
  );
});

test("StagePlan.redo() runs a stage again with all its ancestors", () => {
  const plan = StagePlan.of(STAGES, [1, 1, 1])
    .start(0).finish(0, ["x/1"]).start(1).start(2).finish(2, ["x/2"]).redo(1);
  assert.deepEqual(ready(plan), [0]);
  assert.deepEqual(plan.stages[2]?.results, ["x/2"]);
});
