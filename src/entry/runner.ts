/**
 * Runs a request through the stages of its pipeline.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { ClaimState } from "../ledger/mod.ts";
import {
  digest,
  type IdempotencyKey,
  type Organisation,
  type PipelineSpec,
  type Plan,
  Proof,
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
  requestRefusal,
  type Run,
  stageInput,
} from "../pipeline/mod.ts";
import type { CheckpointedRequest, Checkpoints } from "./checkpoints.ts";
import type { AdmissionService } from "./admission_service.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { StageRequest } from "./stage_dispatch.ts";
import { decideForEntry, type KeyRecord, unsentCall } from "./key_record.ts";

/** The properties of a request that its stage calls carry. */
export interface RequestIdentity {
  readonly requestId: RequestId;
  readonly organisation: Organisation;
  readonly plan: Plan;
  readonly spec: PipelineSpec;
  readonly key: IdempotencyKey;
  /** True when the caller sent the key, so that it may have used it before. */
  readonly keyGiven: boolean;
  readonly input: unknown;
  readonly listsVersion: number;
}

/** A request that passed the checks of the intake. */
export interface PipelineRequest extends RequestIdentity {
  /** Monotonic time of the response's deadline, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  /** Receives generated text; absent when the caller accepts no stream. */
  readonly onText?: (stage: StageName, text: string) => void;
}

/** Dependencies of a {@linkcode Runner}. */
export interface RunnerDeps {
  readonly dispatcher: Dispatcher;
  /** Without it, only the agents check idempotency keys. */
  readonly record?: KeyRecord;
  /** Without it, no request is resumed. */
  readonly checkpoints?: Checkpoints;
  /** Without it, every request is admitted. */
  readonly admission?: AdmissionService;
}

/** A run and the versions of the claim rows at its start, by stage. */
interface StartedRun {
  readonly run: Run;
  readonly versions: ReadonlyMap<StageName, number>;
}

/** Runs pipelines stage by stage. */
export class Runner {
  readonly #deps: RunnerDeps;

  constructor(deps: RunnerDeps) {
    this.#deps = deps;
  }

  /** Runs all stages. Returns the results or the refusal that ended the run. */
  async run(
    req: PipelineRequest,
  ): Promise<Result<readonly StageResult[], Refusal>> {
    const started = await this.#start(req);
    if (started.isErr()) return err(started.error);
    const { versions } = started.value;
    const run = await this.#runAdmitted(req, started.value);
    if (run.refusal) {
      const refusal = requestRefusal(run, run.refusal);
      return err(
        await this.confirm(req, refusal, { versions, done: run.done }),
      );
    }
    if (isDurable(req)) {
      void this.#deps.checkpoints?.deleteIntermediate(checkpointedRequest(req));
    }
    return ok(run.results);
  }

  /** Runs the remaining stages if the request is admitted. */
  async #runAdmitted(req: PipelineRequest, started: StartedRun): Promise<Run> {
    const { admission } = this.#deps;
    if (!admission || !nextStage(started.run)) {
      return await this.#runStages(req, started);
    }
    const entered = admission.admit(req, started.run.done);
    if (entered.isErr()) {
      const { error: refusal } = entered;
      return applyRun(started.run, { kind: "refused", refusal });
    }
    return await this.#runStages(req, started).finally(entered.value);
  }

  async #runStages(
    req: PipelineRequest,
    { run, versions }: StartedRun,
  ): Promise<Run> {
    let current = run;
    for (
      let stage = nextStage(current);
      stage !== undefined;
      stage = nextStage(current)
    ) {
      current = await this.#advance(req, current, {
        stage,
        claimVersion: versions.get(stage.name) ?? 0,
      });
    }
    return current;
  }

  /**
   * Verifies a "not run" refusal against the record of the caller's key, since
   * an earlier request with the key may have run or may still run. Returns the
   * refusal to report to the caller.
   */
  async confirm(
    req: RequestIdentity,
    refusal: Refusal,
    progress: { versions?: ReadonlyMap<StageName, number>; done?: number } = {},
  ): Promise<Refusal> {
    const { record } = this.#deps;
    if (!record || !req.keyGiven || refusal.proof !== Proof.NotRun) {
      return refusal;
    }
    const pending = req.spec.stages.slice(progress.done ?? 0).filter(
      isNonIdempotent,
    );
    const found = await Promise.all(
      pending.map((stage) =>
        record.confirmNotRun(unsentCall(stageRequest(req, {
          stage,
          claimVersion: progress.versions?.get(stage.name) ?? 0,
          input: null,
        })))
      ),
    );
    return found.find((other) => other !== undefined) ?? refusal;
  }

  /** Resumes from the results of earlier requests with the same key. */
  async #start(req: PipelineRequest): Promise<Result<StartedRun, Refusal>> {
    const { requestId, spec, input } = req;
    const fresh = createRun({ requestId, spec, input });
    const started = await this.#readRecord(req, fresh);
    if (started.isErr() || !isDurable(req)) return started;
    const { checkpoints } = this.#deps;
    const results = await checkpoints?.load(checkpointedRequest(req)) ?? [];
    const run = applyRun(started.value.run, { kind: "resumed", results });
    return ok({ ...started.value, run });
  }

  async #readRecord(
    req: PipelineRequest,
    run: Run,
  ): Promise<Result<StartedRun, Refusal>> {
    const { record } = this.#deps;
    const stages = req.spec.stages.filter(isNonIdempotent);
    if (!record || !req.keyGiven || stages.length === 0) {
      return ok({ run, versions: new Map() });
    }
    const keys = stages.map((stage) => stageKey(req, stage));
    const read = await record.read(req.organisation.id, keys);
    if (read.isErr()) return err(read.error);
    const fingerprint = fingerprintOf(req);
    const results: StageResult[] = [];
    for (const { claim } of read.value) {
      if (!claim) continue;
      const decision = decideForEntry(claim, { fingerprint });
      if (decision.kind === "replay") results.push(decision.result);
      else if (claim.state !== ClaimState.NotRun && "refusal" in decision) {
        return err(decision.refusal);
      }
    }
    const versions = stages.map(({ name }, i) =>
      [name, read.value[i]?.version ?? 0] as const
    );
    return ok({
      run: applyRun(run, { kind: "resumed", results }),
      versions: new Map(versions),
    });
  }

  async #advance(
    req: PipelineRequest,
    run: Run,
    { stage, claimVersion }: { stage: StageSpec; claimVersion: number },
  ): Promise<Run> {
    const { onText } = req;
    const { dispatcher, admission } = this.#deps;
    const input = stageInput(run);
    const laterMs = admission?.laterMs(req.spec, stage);
    const outcome = await dispatcher.dispatch(
      { ...stageRequest(req, { stage, claimVersion, input }), laterMs },
      {
        pool: stage.pool,
        deadlineAt: req.deadlineAt,
        signal: req.signal,
        traceparent: req.traceparent,
        onText: onText && ((text) => onText(stage.name, text)),
      },
    );
    admission?.observe(req, stage, outcome);
    if (outcome.isErr()) {
      return applyRun(run, { kind: "refused", refusal: outcome.error });
    }
    const result = await this.#checkpoint(req, stage, outcome.value);
    return applyRun(run, { kind: "stage-done", stage: stage.name, result });
  }

  async #checkpoint(
    req: PipelineRequest,
    stage: StageSpec,
    result: StageResult,
  ): Promise<StageResult> {
    const { checkpoints } = this.#deps;
    if (!checkpoints || !isDurable(req) || !stage.idempotent) return result;
    const stored = await checkpoints.save(checkpointedRequest(req), result);
    return stored.callId === result.callId
      ? result
      : { ...stored, replayed: true };
  }
}

function isNonIdempotent({ idempotent }: StageSpec): boolean {
  return !idempotent;
}

function isDurable(req: RequestIdentity): boolean {
  return req.spec.durable && req.keyGiven;
}

function checkpointedRequest(req: RequestIdentity): CheckpointedRequest {
  return {
    organisation: req.organisation.id,
    key: req.key,
    fingerprint: fingerprintOf(req),
    spec: req.spec,
  };
}

function fingerprintOf(req: RequestIdentity): string {
  return digest({ pipeline: req.spec.name, input: req.input });
}

function stageKey(req: RequestIdentity, stage: StageSpec): IdempotencyKey {
  return `${req.key}/${stage.name}`;
}

function stageRequest(
  req: RequestIdentity,
  { stage, claimVersion, input }: {
    stage: StageSpec;
    claimVersion: number;
    input: unknown;
  },
): StageRequest {
  return {
    requestId: req.requestId,
    organisation: req.organisation.id,
    pipeline: req.spec.name,
    stage: stage.name,
    kind: stage.kind,
    idempotent: stage.idempotent,
    idempotencyKey: stage.idempotent ? undefined : stageKey(req, stage),
    claimVersion: stage.idempotent ? undefined : claimVersion,
    fingerprint: fingerprintOf(req),
    priority: req.spec.priority,
    weight: req.plan.weight,
    listsVersion: req.listsVersion,
    model: stage.model,
    maxTokens: stage.maxTokens,
    input,
  };
}
