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
  isCrowded,
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

interface Ask {
  organisation?: string;
  remainingMs?: number;
  now?: number;
  random?: number;
}

const ask = (state: AdmissionState, opts: Ask = {}) =>
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
const crowded = (organisation = "c"): StageReport => ({
  organisation,
  spec: SPEC,
  stage: SPEC.stages[1] as StageSpec,
  outcome: { kind: "crowded" },
});
const play = (reports: readonly StageReport[], now = 0) =>
  reports.reduce((s, report) => applyReport(s, report, now), EMPTY_ADMISSION);
const times = <T>(count: number, item: T) =>
  Array.from({ length: count }, () => item);

test("decideAdmission() counts the service time of all stages", () => {
  // Fails when pipelineMs() looks at the first stage only.
  const state = play([ran(0, 100), ran(1, 400)]);
  assert.equal(ask(state, { remainingMs: 501 }), undefined);
  const refusal = ask(state, { remainingMs: 499 });
  assert.equal(refusal?.proof, Proof.NotRun);
  assert.equal(refusal?.reason, RefusalReason.DeadlineTooShort);
  assert.ok(refusal?.retryAfterMs);
});

test("decideAdmission() takes the configured time of a stage that was never run", () => {
  assert.equal(ask(EMPTY_ADMISSION, { remainingMs: 20 }), undefined);
  assert.ok(ask(EMPTY_ADMISSION, { remainingMs: 19 }));
});

test("decideAdmission() counts the waits at the gates until they are stale", () => {
  // Fails when pipelineMs() leaves the waits out, or when they do not decay.
  const state = play(times(20, ran(1, 10, 2_000)));
  assert.ok(ask(state));
  assert.equal(ask(state, { now: 20_000 }), undefined);
});

test("decideAdmission() refuses the share that the gates would refuse", () => {
  // Fails when refusalShare() is always 0.
  const state = play([...times(30, crowded()), ...times(10, ran(1, 10))]);
  assert.ok(ask(state, { random: 0.5 }));
  assert.equal(ask(state, { random: 0.9 }), undefined);
  assert.equal(ask(state, { random: 0.5, now: 10_000 }), undefined);
});

test("decideAdmission() lets a modest organisation in beside a greedy one", () => {
  // Fails when flowKey() leaves the organisation out.
  const state = play(times(100, crowded("greedy")));
  assert.ok(ask(state, { organisation: "greedy" }));
  assert.equal(ask(state, { organisation: "modest", random: 0 }), undefined);
});

test("isCrowded() tells of waits at the gates, by organisation, until they are stale", () => {
  // Fails when isCrowded() is always false or looks at the whole pool.
  const state = play(times(20, ran(1, 10, 500)));
  const call = { pool: "two-pool", priority: Priority.Interactive };
  assert.equal(isCrowded(state, { ...call, organisation: "c" }, 0), true);
  assert.equal(isCrowded(state, { ...call, organisation: "d" }, 0), false);
  assert.equal(isCrowded(state, { ...call, organisation: "c" }, 20_000), false);
});

test("applyReport() remembers the flows that changed last", () => {
  // Fails when withFlow() does not drop or does not move the flow to the end.
  const others = Array.from({ length: MAX_FLOWS }, (_, i) => crowded(`o${i}`));
  const greedy = times(50, crowded("greedy"));
  const kept = play([...greedy, ...others.slice(1), ...greedy, ...others]);
  assert.equal(kept.flows.size, MAX_FLOWS);
  const again = play([...greedy, ...others.slice(1), ...greedy, crowded("x")]);
  assert.ok(ask(again, { organisation: "greedy" }));
});

test("laterMs() sums the stages after a stage", () => {
  const state = play([ran(0, 100), ran(1, 400)]);
  assert.equal(laterMs(state, SPEC, SPEC.stages[0] as StageSpec), 400);
  assert.equal(laterMs(state, SPEC, SPEC.stages[1] as StageSpec), 0);
});

test("decideAdmission() lets requests in again after any history", () => {
  // Fails when waits or counts do not decay: the entry would refuse for ever.
  const report = fc.oneof(
    fc.record({
      i: fc.constantFrom(0, 1),
      serviceMs: fc.double({ min: 0, max: 400, noNaN: true }),
      queuedMs: fc.double({ min: 0, max: 9_000, noNaN: true }),
    }).map(({ i, serviceMs, queuedMs }) => ran(i, serviceMs, queuedMs)),
    fc.constant(crowded()),
  );
  fc.assert(
    fc.property(
      fc.array(fc.tuple(report, fc.integer({ min: 0, max: 100 }))),
      (history) => {
        let now = 0;
        let state = EMPTY_ADMISSION;
        history.forEach(([one, waitMs]) => {
          now += waitMs;
          state = applyReport(state, one, now);
          ask(state, { now });
        });
        const later = now + 60_000;
        assert.equal(ask(state, { now: later, random: 0 }), undefined);
      },
    ),
    { seed: 3, numRuns: 300 },
  );
});
