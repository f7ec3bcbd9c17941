/**
 * Progress of one request through the stages of its pipeline.
 *
 * @module
 */

import {
  digest,
  type PipelineSpec,
  type Refusal,
  type RequestId,
  type StageName,
  type StageResult,
  type StageSpec,
} from "../model/mod.ts";
import { invariant } from "../kernel/mod.ts";

/** State of a run. */
export interface Run {
  readonly requestId: RequestId;
  readonly spec: PipelineSpec;
  readonly input: unknown;
  /** Number of stages done. */
  readonly done: number;
  /** Results of the done stages; those before a resumed one may be missing. */
  readonly results: readonly StageResult[];
  readonly refusal?: Refusal;
}

/** Event that changes a run. */
export type RunEvent =
  | {
    readonly kind: "stage-done";
    readonly stage: StageName;
    readonly result: StageResult;
  }
  /** Recorded results of an earlier request with the same key. */
  | { readonly kind: "resumed"; readonly results: readonly StageResult[] }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Returns a new run at its first stage. */
export function createRun(
  opts: { requestId: RequestId; spec: PipelineSpec; input: unknown },
): Run {
  return { ...opts, done: 0, results: [] };
}

/** Returns the stage to run next, or undefined when the run has ended. */
export function nextStage(run: Run): StageSpec | undefined {
  if (run.refusal) return undefined;
  return run.spec.stages[run.done];
}

/** Applies an event and returns the next state. */
export function applyRun(run: Run, event: RunEvent): Run {
  switch (event.kind) {
    case "refused":
      return { ...run, refusal: event.refusal };
    case "resumed":
      return event.results.reduce(resume, run);
    case "stage-done":
      return finishStage(run, event);
  }
}

function finishStage(
  run: Run,
  { stage, result }: { stage: StageName; result: StageResult },
): Run {
  invariant(
    nextStage(run)?.name === stage && result.stage === stage,
    "stage-order",
    () => `stage=${stage} result=${result.stage} done=${run.done}`,
  );
  invariant(
    result.replayed || result.callId.startsWith(`${run.requestId}/`),
    "result-of-own-request",
    () => `request=${run.requestId} call=${result.callId}`,
  );
  invariant(
    result.digest === digest(result.output ?? null),
    "result-digest",
    () => `call=${result.callId}`,
  );
  return { ...run, done: run.done + 1, results: [...run.results, result] };
}

/** Continues after the stage of a recorded result, unless already past it. */
function resume(run: Run, result: StageResult): Run {
  const at = run.spec.stages.findIndex(({ name }) => name === result.stage);
  if (at < run.done) return run;
  const replayed = { ...result, replayed: true };
  return { ...run, done: at + 1, results: [...run.results, replayed] };
}

/** Returns the input of the next stage: the caller's and the last output. */
export function stageInput(run: Run): unknown {
  const last = run.results.at(-1);
  return { request: run.input, previous: last?.output ?? null };
}
