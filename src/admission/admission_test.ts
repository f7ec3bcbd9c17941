import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { setStrictInvariants } from "../kernel/mod.ts";
import {
  type PipelineSpec,
  Priority,
  Proof,
  RefusalReason,
  type StageSpec,
} from "../model/mod.ts";
import {
  type AdmissionState,
  applyReport,
  decideAdmission,
  EMPTY_ADMISSION,
  isCongested,
  laterMs,
  MAX_FLOWS,
  type StageReport,
} from "./admission.ts";

setStrictInvariants(true);

const stage = (name: string): StageSpec => ({
  name,
  kind: "encode",
  pool: `${name}-pool`,
  idempotent: true,
  expectedMs: 10,
});
const SPEC: PipelineSpec = {
  name: "p",
  stages: [stage("one"), stage("two")],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: 1_000,
};

interface RequestOptions {
  organisation?: string;
  remainingMs?: number;
  now?: number;
  random?: number;
}

const decide = (state: AdmissionState, opts: RequestOptions = {}) =>
  decideAdmission(state, {
    organisation: opts.organisation ?? "c",
    spec: SPEC,
    stages: SPEC.stages,
    remainingMs: opts.remainingMs ?? 1_000,
  }, { now: opts.now ?? 0, random: opts.random ?? 0.5 });

const ran = (i: number, serviceMs: number, queuedMs = 0): StageReport => ({
  organisation: "c",
  spec: SPEC,
  stage: SPEC.stages[i] as StageSpec,
  outcome: { kind: "ran", serviceMs, queuedMs },
});
const congested = (organisation = "c"): StageReport => ({
  organisation,
  spec: SPEC,
  stage: SPEC.stages[1] as StageSpec,
  outcome: { kind: "congested" },
});
const applyAll = (reports: readonly StageReport[], now = 0) =>
  reports.reduce((s, report) => applyReport(s, report, now), EMPTY_ADMISSION);
const times = <T>(count: number, item: T) =>
  Array.from({ length: count }, () => item);

test("decideAdmission() counts the service time of all stages", () => {
  // Fails when expectedPipelineMs() counts the first stage only.
  const state = applyAll([ran(0, 100), ran(1, 400)]);
  assert.equal(decide(state, { remainingMs: 501 }), undefined);
  const refusal = decide(state, { remainingMs: 499 });
  assert.equal(refusal?.proof, Proof.NotRun);
  assert.equal(refusal?.reason, RefusalReason.DeadlineTooShort);
  assert.ok(refusal?.retryAfterMs);
});

test("decideAdmission() uses the configured time of a stage that has never run", () => {
  assert.equal(decide(EMPTY_ADMISSION, { remainingMs: 20 }), undefined);
  assert.ok(decide(EMPTY_ADMISSION, { remainingMs: 19 }));
});

test("decideAdmission() counts the waits at the gates until they are stale", () => {
  // Fails when expectedPipelineMs() omits the waits, or when they do not decay.
  const state = applyAll(times(20, ran(1, 10, 2_000)));
  assert.ok(decide(state));
  assert.equal(decide(state, { now: 20_000 }), undefined);
});

test("decideAdmission() refuses the share that the gates would refuse", () => {
  // Fails when refusalShare() is always 0.
  const state = applyAll([...times(30, congested()), ...times(10, ran(1, 10))]);
  assert.ok(decide(state, { random: 0.5 }));
  assert.equal(decide(state, { random: 0.9 }), undefined);
  assert.equal(decide(state, { random: 0.5, now: 10_000 }), undefined);
});

test("decideAdmission() admits a modest organisation beside a greedy one", () => {
  // Fails when flowKey() omits the organisation.
  const state = applyAll(times(100, congested("greedy")));
  assert.ok(decide(state, { organisation: "greedy" }));
  assert.equal(decide(state, { organisation: "modest", random: 0 }), undefined);
});

test("isCongested() reports waits at the gates by organisation until they are stale", () => {
  // Fails when isCongested() is always false or considers the whole pool.
  const state = applyAll(times(20, ran(1, 10, 500)));
  const call = { pool: "two-pool", priority: Priority.Interactive };
  assert.equal(isCongested(state, { ...call, organisation: "c" }, 0), true);
  assert.equal(isCongested(state, { ...call, organisation: "d" }, 0), false);
  assert.equal(
    isCongested(state, { ...call, organisation: "c" }, 20_000),
    false,
  );
});

test("applyReport() keeps the most recently changed flows", () => {
  // Fails when withFlow() does not evict a flow, or does not move the changed
  // flow to the end.
  const others = Array.from(
    { length: MAX_FLOWS },
    (_, i) => congested(`o${i}`),
  );
  const greedy = times(50, congested("greedy"));
  const kept = applyAll([...greedy, ...others.slice(1), ...greedy, ...others]);
  assert.equal(kept.flows.size, MAX_FLOWS);
  const again = applyAll([
    ...greedy,
    ...others.slice(1),
    ...greedy,
    congested("x"),
  ]);
  assert.ok(decide(again, { organisation: "greedy" }));
});

test("laterMs() sums the stages after a stage", () => {
  const state = applyAll([ran(0, 100), ran(1, 400)]);
  assert.equal(laterMs(state, SPEC, SPEC.stages[0] as StageSpec), 400);
  assert.equal(laterMs(state, SPEC, SPEC.stages[1] as StageSpec), 0);
});

test("decideAdmission() admits requests again after any history", () => {
  // Fails when waits or counts do not decay: requests stay refused for ever.
  const report = fc.oneof(
    fc.record({
      i: fc.constantFrom(0, 1),
      serviceMs: fc.double({ min: 0, max: 400, noNaN: true }),
      queuedMs: fc.double({ min: 0, max: 9_000, noNaN: true }),
    }).map(({ i, serviceMs, queuedMs }) => ran(i, serviceMs, queuedMs)),
    fc.constant(congested()),
  );
  fc.assert(
    fc.property(
      fc.array(fc.tuple(report, fc.integer({ min: 0, max: 100 }))),
      (history) => {
        let now = 0;
        let state = EMPTY_ADMISSION;
        history.forEach(([stageReport, waitMs]) => {
          now += waitMs;
          state = applyReport(state, stageReport, now);
          decide(state, { now });
        });
        const later = now + 60_000;
        assert.equal(decide(state, { now: later, random: 0 }), undefined);
      },
    ),
    { seed: 3, numRuns: 300 },
  );
});
