/**
 * Runs a request through its pipeline.
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
import { decideFor, type KeyRecord, unsentCall } from "./key_record.ts";

/** What of a request its stage calls carry. */
export interface RequestIdentity {
  readonly requestId: RequestId;
  readonly organisation: Organisation;
  readonly plan: Plan;
  readonly spec: PipelineSpec;
  readonly key: IdempotencyKey;
  /** True when the caller chose the key, so that it may have used it before. */
  readonly keyGiven: boolean;
  readonly input: unknown;
  readonly listsVersion: number;
}

/** A request that was let in. */
export interface PipelineRequest extends RequestIdentity {
  /** Monotonic time at which the answer is due, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  /** Receives generated text; absent when the caller takes no stream. */
  readonly onText?: (stage: StageName, text: string) => void;
}

/** What a runner is made of. */
export interface RunnerParts {
  readonly dispatcher: Dispatcher;
  /** Without it, keys are only checked by the agents. */
  readonly record?: KeyRecord;
  /** Without it, no request is resumed. */
  readonly checkpoints?: Checkpoints;
  /** Without it, every request is let in. */
  readonly admission?: AdmissionService;
}

/** A run and the claim rows' versions that it was started with. */
interface Started {
  readonly run: Run;
  readonly versions: ReadonlyMap<StageName, number>;
}

/** Runs pipelines stage by stage. */
export class Runner {
  readonly #parts: RunnerParts;

  constructor(parts: RunnerParts) {
    this.#parts = parts;
  }

  /** Runs all stages; gives their results or the refusal that ended the run. */
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
      void this.#parts.checkpoints?.dropIntermediate(checkpointed(req));
    }
    return ok(run.results);
  }

  /** Runs the stages that are left, if the request is let in. */
  async #runAdmitted(req: PipelineRequest, started: Started): Promise<Run> {
    const { admission } = this.#parts;
    if (!admission || !nextStage(started.run)) {
      return await this.#runStages(req, started);
    }
    const entered = admission.enter(req, started.run.done);
    if (entered.isErr()) {
      const { error: refusal } = entered;
      return applyRun(started.run, { kind: "refused", refusal });
    }
    return await this.#runStages(req, started).finally(entered.value);
  }

  async #runStages(
    req: PipelineRequest,
    { run, versions }: Started,
  ): Promise<Run> {
    let now = run;
    for (
      let stage = nextStage(now);
      stage !== undefined;
      stage = nextStage(now)
    ) {
      now = await this.#advance(req, now, {
        stage,
        claimVersion: versions.get(stage.name) ?? 0,
      });
    }
    return now;
  }

  /**
   * Makes sure that a "not run" is true of the caller's key: an earlier
   * request with the key may have run, or may be about to. Gives the refusal
   * to tell.
   */
  async confirm(
    req: RequestIdentity,
    refusal: Refusal,
    at: { versions?: ReadonlyMap<StageName, number>; done?: number } = {},
  ): Promise<Refusal> {
    const { record } = this.#parts;
    if (!record || !req.keyGiven || refusal.proof !== Proof.NotRun) {
      return refusal;
    }
    const pending = req.spec.stages.slice(at.done ?? 0).filter(mayNotRepeat);
    const found = await Promise.all(
      pending.map((stage) =>
        record.confirmNotRun(unsentCall(stageRequest(req, {
          stage,
          claimVersion: at.versions?.get(stage.name) ?? 0,
          input: null,
        })))
      ),
    );
    return found.find((other) => other !== undefined) ?? refusal;
  }

  /** Takes over what an earlier request with the same key left. */
  async #start(req: PipelineRequest): Promise<Result<Started, Refusal>> {
    const { requestId, spec, input } = req;
    const fresh = createRun({ requestId, spec, input });
    const started = await this.#readRecord(req, fresh);
    if (started.isErr() || !isDurable(req)) return started;
    const { checkpoints } = this.#parts;
    const results = await checkpoints?.load(checkpointed(req)) ?? [];
    const run = applyRun(started.value.run, { kind: "resumed", results });
    return ok({ ...started.value, run });
  }

  async #readRecord(
    req: PipelineRequest,
    run: Run,
  ): Promise<Result<Started, Refusal>> {
    const { record } = this.#parts;
    const stages = req.spec.stages.filter(mayNotRepeat);
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
      const decision = decideFor(claim, { fingerprint });
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
    const { dispatcher, admission } = this.#parts;
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
    const { checkpoints } = this.#parts;
    if (!checkpoints || !isDurable(req) || !stage.idempotent) return result;
    const kept = await checkpoints.save(checkpointed(req), result);
    return kept.callId === result.callId ? result : { ...kept, replayed: true };
  }
}

function mayNotRepeat({ idempotent }: StageSpec): boolean {
  return !idempotent;
}

function isDurable(req: RequestIdentity): boolean {
  return req.spec.durable && req.keyGiven;
}

function checkpointed(req: RequestIdentity): CheckpointedRequest {
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
