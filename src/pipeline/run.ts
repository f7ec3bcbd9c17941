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
  readonly results: readonly StageResult[];
  readonly refusal?: Refusal;
}

/** Something that happened to the run. */
export type RunEvent =
  | {
    readonly kind: "stage-done";
    readonly stage: StageName;
    readonly result: StageResult;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** New run at its first stage. */
export function createRun(
  opts: { requestId: RequestId; spec: PipelineSpec; input: unknown },
): Run {
  return { ...opts, results: [] };
}

/** Stage that has to run next, or undefined when the run has ended. */
export function nextStage(run: Run): StageSpec | undefined {
  if (run.refusal) return undefined;
  return run.spec.stages[run.results.length];
}

/** Applies an event and gives the next state. */
export function applyRun(run: Run, event: RunEvent): Run {
  if (event.kind === "refused") return { ...run, refusal: event.refusal };
  const { result } = event;
  invariant(
    nextStage(run)?.name === event.stage,
    "stage-order",
    () => `stage=${event.stage} done=${run.results.length}`,
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
  return { ...run, results: [...run.results, result] };
}

/** Input of the next stage: the caller's input and the last result. */
export function stageInput(run: Run): unknown {
  const last = run.results.at(-1);
  return { request: run.input, previous: last?.output ?? null };
}
