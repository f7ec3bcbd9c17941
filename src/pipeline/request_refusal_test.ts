import assert from "node:assert/strict";
import { test } from "node:test";
import {
  digest,
  notRun,
  outcomeUnknown,
  type PipelineSpec,
  RefusalReason,
  type StageResult,
} from "../model/mod.ts";
import { applyRun, createRun, nextStage } from "./run.ts";
import { requestRefusal } from "./request_refusal.ts";

const NOT_RUN = notRun(RefusalReason.OverLimit, "Full");
const UNKNOWN = outcomeUnknown(RefusalReason.Silent, "Cut off");

const stage = (name: string) => ({
  name,
  kind: name.startsWith("file") ? "file" as const : "encode" as const,
  pool: "p",
  idempotent: !name.startsWith("file"),
  expectedMs: 1,
});
const result = (name: string): StageResult => ({
  callId: `r/${name}/1`,
  stage: name,
  fingerprint: "f",
  target: "t",
  output: name,
  digest: digest(name),
  tokens: 0,
  serviceMs: 1,
  queuedMs: 0,
  replayed: false,
});
const runOf = (stages: string, done: number) => {
  const names = stages.split(" ");
  const spec = { name: "p", stages: names.map(stage) } as unknown;
  const fresh = createRun({
    requestId: "r",
    spec: spec as PipelineSpec,
    input: 1,
  });
  return names.slice(0, done).reduce(
    (run, name) =>
      applyRun(run, { kind: "stage-done", stage: name, result: result(name) }),
    fresh,
  );
};
const proof = (stages: string, done: number, refusal = NOT_RUN) =>
  requestRefusal(runOf(stages, done), refusal).proof;

test("requestRefusal() is not-run until a non-idempotent stage is sent", () => {
  assert.equal(proof("look file", 1), "not-run");
  assert.equal(proof("look file", 0, UNKNOWN), "not-run");
});

test("requestRefusal() is unknown if a non-idempotent stage is", () => {
  assert.equal(proof("look file", 1, UNKNOWN), "outcome-unknown");
});

test("requestRefusal() is unknown once a non-idempotent stage ran", () => {
  assert.equal(proof("file1 look file2", 1), "outcome-unknown");
  assert.equal(proof("file1 look file2", 2), "outcome-unknown");
});

test("requestRefusal() keeps the proof if all stages are idempotent", () => {
  assert.equal(proof("look draft", 1), "not-run");
  assert.equal(proof("look draft", 1, UNKNOWN), "outcome-unknown");
});

test("applyRun() resumes after the last recorded stage", () => {
  const resume = (...names: string[]) =>
    nextStage(applyRun(runOf("a b c", 0), {
      kind: "resumed",
      results: names.map(result),
    }))?.name;
  assert.equal(resume(), "a");
  assert.equal(resume("a", "b"), "c");
  assert.equal(resume("b"), "c");
  assert.equal(resume("c"), undefined);
  assert.equal(resume("c", "a"), undefined);
});
