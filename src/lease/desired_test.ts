import assert from "node:assert/strict";
import { test } from "node:test";
import { Priority, StageKind, type UseList } from "../model/mod.ts";
import { desiredSetup, nextOrder } from "./desired.ts";

/** One pipeline with a stage for each "pool:model". */
const use = (...stages: string[]): UseList => ({
  plans: [],
  pipelines: [{
    name: "p",
    durable: false,
    priority: Priority.Batch,
    deadlineMs: 1,
    stages: stages.map((text, i) => ({
      name: `s${i}`,
      kind: StageKind.Generate,
      pool: text.split(":")[0] as string,
      model: text.split(":")[1],
      idempotent: true,
      expectedMs: 1,
    })),
  }],
});

test("desiredSetup() takes the model that most stages name", () => {
  const setup = desiredSetup(use("a:x", "a:y", "a:y", "b:z"), "a");
  assert.deepEqual(setup, { model: "y", adapters: ["x"] });
});

test("desiredSetup() is undefined where no stage names a model", () => {
  assert.equal(desiredSetup(use("a"), "a"), undefined);
});

test("nextOrder() loads the model, then the adapters, then nothing", () => {
  const desired = { model: "m", adapters: ["a"] };
  const after = (model: string, adapters: string[]) =>
    nextOrder(desired, { model, adapters }, "t")?.name;
  assert.equal(after("default", []), "m");
  assert.equal(after("m", []), "a");
  assert.equal(after("m", ["a"]), undefined);
});

// Fails when the adapters are loaded in the same order everywhere.
test("nextOrder() spreads the first adapter over the targets", () => {
  const desired = { model: "m", adapters: ["a", "b", "c"] };
  const first = Array.from(
    { length: 40 },
    (_, i) => nextOrder(desired, { model: "m", adapters: [] }, `t${i}`)?.name,
  );
  assert.deepEqual([...new Set(first)].sort(), ["a", "b", "c"]);
});
