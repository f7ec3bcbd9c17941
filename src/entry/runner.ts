/**
 * Runs a request through its pipeline.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Customer,
  digest,
  type IdempotencyKey,
  type PipelineSpec,
  type Plan,
  type Refusal,
  type RequestId,
  type StageName,
  type StageResult,
  type StageSpec,
} from "../model/mod.ts";
import {
  applyRun,
  createRun,
  nextStage,
  type Run,
  stageInput,
} from "../pipeline/mod.ts";
import type { Dispatcher, StageRequest } from "./dispatcher.ts";

/** A request that was let in. */
export interface PipelineRequest {
  readonly requestId: RequestId;
  readonly customer: Customer;
  readonly plan: Plan;
  readonly spec: PipelineSpec;
  readonly key: IdempotencyKey;
  readonly input: unknown;
  /** Monotonic time at which the answer is due, in milliseconds. */
  readonly deadlineAt: number;
  readonly listsVersion: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  readonly onText: (stage: StageName, text: string) => void;
}

/** Runs pipelines stage by stage. */
export class Runner {
  readonly #dispatcher: Dispatcher;

  constructor(dispatcher: Dispatcher) {
    this.#dispatcher = dispatcher;
  }

  /** Runs all stages; gives their results or the refusal that ended the run. */
  async run(
    req: PipelineRequest,
  ): Promise<Result<readonly StageResult[], Refusal>> {
    const { requestId, spec, input } = req;
    let run = createRun({ requestId, spec, input });
    for (
      let stage = nextStage(run);
      stage !== undefined;
      stage = nextStage(run)
    ) {
      run = await this.#advance(req, run, stage);
    }
    return run.refusal ? err(run.refusal) : ok(run.results);
  }

  async #advance(
    req: PipelineRequest,
    run: Run,
    stage: StageSpec,
  ): Promise<Run> {
    const outcome = await this.#dispatcher.dispatch(
      stageRequest(req, run, stage),
      {
        pool: stage.pool,
        deadlineAt: req.deadlineAt,
        signal: req.signal,
        traceparent: req.traceparent,
        onText: (text) => req.onText(stage.name, text),
      },
    );
    return outcome.match(
      (result) =>
        applyRun(run, { kind: "stage-done", stage: stage.name, result }),
      (refusal) => applyRun(run, { kind: "refused", refusal }),
    );
  }
}

function stageRequest(
  req: PipelineRequest,
  run: Run,
  stage: StageSpec,
): StageRequest {
  return {
    requestId: req.requestId,
    customer: req.customer.id,
    pipeline: req.spec.name,
    stage: stage.name,
    kind: stage.kind,
    idempotent: stage.idempotent,
    idempotencyKey: stage.idempotent ? undefined : `${req.key}/${stage.name}`,
    fingerprint: digest({ pipeline: req.spec.name, input: req.input }),
    priority: req.spec.priority,
    weight: req.plan.weight,
    listsVersion: req.listsVersion,
    model: stage.model,
    maxTokens: stage.maxTokens,
    input: stageInput(run),
  };
}
