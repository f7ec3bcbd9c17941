import assert from "node:assert/strict";
import { test } from "node:test";
import { Priority, StageKind, type UseList } from "../model/mod.ts";
import { desiredSetup, nextOrder } from "./engine_setup.ts";

/** Returns a list with one pipeline that has a stage for each "pool:model". */
const use = (...stages: string[]): UseList => ({
  plans: [],
  pipelines: [{
    name: "p",
    durable: false,
    priority: Priority.Batch,
    deadlineMs: 1,
    stages: stages.map((spec, i) => ({
      name: `s${i}`,
      kind: StageKind.Generate,
      pool: spec.split(":")[0] as string,
      model: spec.split(":")[1],
      idempotent: true,
      expectedMs: 1,
    })),
  }],
});

test("desiredSetup() returns the model that most stages name", () => {
  const setup = desiredSetup(use("a:x", "a:y", "a:y", "b:z"), "a");
  assert.deepEqual(setup, { model: "y", adapters: ["x"] });
});

test("desiredSetup() returns undefined when no stage names a model", () => {
  assert.equal(desiredSetup(use("a"), "a"), undefined);
});

test("nextOrder() orders the model, then the adapters, then nothing", () => {
  const desired = { model: "m", adapters: ["a"] };
  const nextName = (model: string, adapters: string[]) =>
    nextOrder(desired, { model, adapters }, "t")?.name;
  assert.equal(nextName("default", []), "m");
  assert.equal(nextName("m", []), "a");
  assert.equal(nextName("m", ["a"]), undefined);
});

// Fails when all targets load the adapters in the same sequence.
test("nextOrder() distributes the first adapter over the targets", () => {
  const desired = { model: "m", adapters: ["a", "b", "c"] };
  const firstAdapters = Array.from(
    { length: 40 },
    (_, i) => nextOrder(desired, { model: "m", adapters: [] }, `t${i}`)?.name,
  );
  assert.deepEqual([...new Set(firstAdapters)].sort(), ["a", "b", "c"]);
});
