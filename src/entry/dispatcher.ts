/**
 * Dispatches stage calls to targets. Failed calls are retried where that is
 * safe, and slow idempotent calls are hedged.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  ANY_PROMPT,
  type CrashWatch,
  type PromptPermit,
} from "../crashes/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  callId,
  type Cost,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
} from "../model/mod.ts";
import {
  createRetryBudgets,
  earnFor,
  finalRefusal,
  HEDGE_QUANTILE,
  hedgeAfterMs,
  mayRetry,
  type RetryBudgets,
  spendFor,
} from "../retry/mod.ts";
import type { Metrics, Tracing } from "../telemetry/mod.ts";
import type { AdmissionService } from "./admission_service.ts";
import {
  Attempt,
  type AttemptOutcome,
  type TargetDirectory,
} from "./attempt.ts";
import { contentOf } from "./call_content.ts";
import type { RequestContent } from "../quarantine/mod.ts";
import type { CostTotals } from "./cost_totals.ts";
import {
  closedBeforeRun,
  isClosedByRequest,
  type KeyRecord,
  type SettledOutcome,
} from "./key_record.ts";
import { type HealthOutcome, healthOutcomeOf } from "./pool_router.ts";
import {
  areAllSilent,
  attemptsSilent,
  firstResult,
  firstSuccess,
  type StartedAttempt,
} from "./race.ts";
import {
  type DispatchOptions,
  organisationBudgetName,
  StageDispatch,
  type StageRequest,
  targetBudgetName,
} from "./stage_dispatch.ts";
import {
  callerCancelled,
  deadlinePassed,
  noTarget,
  quarantined,
  superseded,
} from "./unsent.ts";

const RETRY_RATIO = 0.1;
const MAX_SAVED_RETRIES = 20;
const RETRY_DELAY_MS = 20;

/** Dependencies of a dispatcher. */
export interface DispatcherDeps {
  readonly directory: TargetDirectory;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** Without it, a call whose response was lost keeps an unknown outcome. */
  readonly record?: KeyRecord;
  readonly costs?: CostTotals;
  /** Without it, calls on which targets crash are repeated without limit. */
  readonly crashes?: Pick<CrashWatch, "admit" | "watch">;
  /** Receives the load reports that responses carry. */
  readonly admission?: AdmissionService;
}

/** Dispatches stage calls, with retries and hedges. */
export class Dispatcher {
  readonly #deps: DispatcherDeps;
  #budgets: RetryBudgets = createRetryBudgets({
    ratio: RETRY_RATIO,
    max: MAX_SAVED_RETRIES,
  });

  constructor(deps: DispatcherDeps) {
    this.#deps = deps;
  }

  /** Dispatches a stage call; returns its result or final refusal. */
  dispatch(
    req: StageRequest,
    opts: DispatchOptions,
  ): Promise<Result<StageResult, Refusal>> {
    const content = contentOf(req);
    const permit = this.#admit(req, content);
    if (permit.isErr()) return Promise.resolve(err(permit.error));
    const stage = new StageDispatch(req, opts, {
      content,
      permit: permit.value,
    });
    return this.#runWithRetries(stage, opts.signal);
  }

  /** Refuses a call on whose content targets have crashed. */
  #admit(
    { requestId }: StageRequest,
    content: RequestContent,
  ): Result<PromptPermit, Refusal> {
    const { crashes } = this.#deps;
    if (!crashes) return ok(ANY_PROMPT);
    return crashes.admit({ id: requestId, ...content }).mapErr(quarantined);
  }

  async #runWithRetries(
    stage: StageDispatch,
    signal: AbortSignal,
  ): Promise<Result<StageResult, Refusal>> {
    while (true) {
      const { attempts } = stage;
      const outcome = stage.req.idempotent
        ? await this.#runHedged(stage, signal)
        : await this.#runSingle(stage);
      if (outcome.isOk()) return outcome;
      const { error: refusal } = outcome;
      const wasSent = stage.attempts > attempts;
      if (wasSent || attempts === 0) stage.refusals.push(refusal);
      if (!wasSent || !this.#acquireRetry(stage, refusal, signal)) {
        return err(finalRefusal(stage.refusals));
      }
      await sleep(RETRY_DELAY_MS, signal);
    }
  }

  /** Takes a retry from the budgets; false when no retry is allowed. */
  #acquireRetry(
    stage: StageDispatch,
    refusal: Refusal,
    signal: AbortSignal,
  ): boolean {
    const { req, attempts: attempt } = stage;
    if (stage.streamed || signal.aborted || stage.isOverdue) return false;
    if (!mayRetry(refusal, { idempotent: req.idempotent, attempt })) {
      return false;
    }
    if (!this.#spendBudget(stage)) return false;
    this.#count("retries_total", stage);
    this.#deps.costs?.add(stage.req, { retries: 1 });
    return true;
  }

  #spendBudget(stage: StageDispatch): boolean {
    const remaining = spendFor(this.#budgets, stage.budgetNames);
    if (!remaining) {
      this.#count("retries_denied_total", stage);
      return false;
    }
    this.#budgets = remaining;
    return true;
  }

  /**
   * Runs one attempt at a non-idempotent call. If the response is lost or
   * silent, the record of the key settles the outcome.
   */
  async #runSingle(
    stage: StageDispatch,
  ): Promise<Result<StageResult, Refusal>> {
    const ready = await this.#refreshClaimVersion(stage);
    if (ready.isErr()) return err(ready.error);
    const abort = new AbortController();
    const signal = AbortSignal.any([abort.signal, stage.opts.signal]);
    const started = this.#startAttempt(stage, signal);
    if (started.isErr()) return err(started.error);
    const { call, completion, silent } = started.value;
    const { record } = this.#deps;
    const early = await Promise.race([completion, silent]);
    if (!record) return (await completion).outcome;
    if (early && !early.unsettled) return early.outcome;
    // A silent attempt goes on while its outcome is read from the record.
    const settled = this.#settle(record, call, stage);
    const outcome = completion.then(({ outcome, unsettled }) =>
      unsettled ? settled : outcome
    );
    return await Promise.race([outcome, settled])
      .finally(() => abort.abort());
  }

  async #settle(
    record: KeyRecord,
    call: StageCall,
    stage: StageDispatch,
  ): Promise<Result<StageResult, Refusal>> {
    const settled = await record.settle(call, stage.opts);
    this.#count("calls_settled_total", stage);
    return settledOutcome(settled, stage);
  }

  /**
   * Before a retry, adopts the current version of the claim row if an agent
   * closed the key on behalf of this request. Refuses if another request wrote
   * the row.
   */
  async #refreshClaimVersion(
    stage: StageDispatch,
  ): Promise<Result<void, Refusal>> {
    const { record } = this.#deps;
    const { organisation, idempotencyKey: key, requestId } = stage.req;
    if (!record || !key || stage.attempts === 0 || stage.hasFreshVersion) {
      return ok(undefined);
    }
    const read = await record.read(organisation, [key]);
    if (read.isErr()) return err(read.error);
    const { claim, version } = read.value[0] ?? { version: 0 };
    if (version === stage.claimVersion) return ok(undefined);
    if (!claim || !isClosedByRequest(claim, { requestId })) {
      return err(superseded());
    }
    stage.claimVersion = version;
    return ok(undefined);
  }

  /** Runs an attempt at an idempotent call, and a second one if it is slow. */
  async #runHedged(
    stage: StageDispatch,
    callerSignal: AbortSignal,
  ): Promise<Result<StageResult, Refusal>> {
    const abort = new AbortController();
    const signal = AbortSignal.any([abort.signal, callerSignal]);
    const first = this.#startAttempt(stage, signal);
    if (first.isErr()) return err(first.error);
    try {
      const attempts = [first.value];
      const hedgeDelayMs = this.#hedgeDelayMs(stage);
      const { completion, silent } = first.value;
      const early = await Promise.race([
        completion,
        silent.then(() => "silent" as const),
        ...hedgeDelayMs === undefined ? [] : [sleep(hedgeDelayMs, signal)],
      ]);
      const mayHedge = !early && !stage.streamed && !this.#isCongested(stage);
      if (mayHedge && this.#spendBudget(stage)) {
        this.#count("hedges_total", stage);
        this.#deps.costs?.add(stage.req, { hedges: 1 });
        this.#startAttempt(stage, signal).map((hedge) => attempts.push(hedge));
      }
      return await this.#firstOf(attempts, { stage, signal });
    } finally {
      abort.abort();
    }
  }

  /**
   * Returns the first result of the attempts or, once they are silent, of a
   * repeat. A refused repeat leaves the silent attempts until the deadline.
   */
  async #firstOf(
    attempts: readonly StartedAttempt[],
    { stage, signal }: { stage: StageDispatch; signal: AbortSignal },
  ): Promise<Result<StageResult, Refusal>> {
    const result = firstSuccess(attempts, stage);
    const isSilent = await Promise.race([
      result.then(() => false),
      areAllSilent(attempts),
    ]);
    const refusal = attemptsSilent();
    if (!isSilent || !this.#acquireRetry(stage, refusal, signal)) {
      return await result;
    }
    stage.refusals.push(refusal);
    return await firstResult([this.#runWithRetries(stage, signal), result]);
  }

  /**
   * True when calls queue at the pool's gates, where a hedge would only take
   * the place of another call.
   */
  #isCongested({ req, opts }: StageDispatch): boolean {
    const call = { ...req, pool: opts.pool };
    return this.#deps.admission?.isCongested(call) ?? false;
  }

  #hedgeDelayMs(stage: StageDispatch): number | undefined {
    const latency = this.#latency(stage);
    const remainingMs = stage.opts.deadlineAt - monotonicMs();
    return hedgeAfterMs({ idempotent: stage.req.idempotent, remainingMs }, {
      count: latency.count,
      slowMs: latency.quantile(HEDGE_QUANTILE),
    });
  }

  /** Starts the next attempt, at a target that was not tried before. */
  #startAttempt(
    stage: StageDispatch,
    signal: AbortSignal,
  ): Result<StartedAttempt, Refusal> {
    const { req, opts } = stage;
    if (stage.isOverdue) return err(deadlinePassed());
    if (signal.aborted) return err(callerCancelled());
    const refused = stage.permit.refusal();
    if (refused) return err(quarantined(refused));
    const { directory } = this.#deps;
    const target = directory.choose(opts.pool, {
      tried: stage.tried,
      stage: req,
    });
    if (!target) return err(noTarget(opts.pool));
    const attempt = stage.beginAttempt(target);
    const span = this.#deps.tracing.start("entry.stage", {
      parent: opts.traceparent,
      attributes: { stage: req.stage, target: target.id, attempt },
    });
    const call: StageCall = {
      ...req,
      callId: callId(req.requestId, req.stage, attempt),
      claimVersion: req.idempotent ? undefined : stage.claimVersion,
      target: target.id,
      remainingMs: opts.deadlineAt - monotonicMs(),
      traceparent: span.traceparent,
    };
    let onSilent = () => {};
    const silent = new Promise<void>((resolve) => onSilent = resolve);
    const completion = this.#runAttempt(
      { stage, call, target, signal, onSilent },
    )
      .then((result) => {
        span.end(
          result.outcome.isErr() ? result.outcome.error.reason : undefined,
        );
        return result;
      });
    return ok({ call, completion, silent });
  }

  async #runAttempt(
    { stage, call, target, signal, onSilent }: {
      stage: StageDispatch;
      call: StageCall;
      target: Target;
      signal: AbortSignal;
      onSilent: () => void;
    },
  ): Promise<AttemptOutcome> {
    const { directory, metrics, admission } = this.#deps;
    const endCall = directory.begin(target, stage.req);
    const startedAt = monotonicMs();
    const attempt = new Attempt(
      { directory, metrics, admission },
      call,
      target,
    );
    const watch = this.#deps.crashes
      ?.watch(
        { id: target.id, address: target.agentUrl },
        stage.content,
      );
    const sink = stage.textSink(call.callId);
    const onText = (text: string) => {
      watch?.wrote();
      sink?.(text);
    };
    const result = await attempt.run({ signal, onText, onSilent });
    if (result.outcome.isOk()) watch?.completed({ endsWithConnection: false });
    else if (hasCrashed(result.outcome.error)) watch?.broke();
    endCall(targetHealthOutcome(stage, result.outcome));
    this.#recordAttempt(stage, {
      ms: monotonicMs() - startedAt,
      target,
      outcome: result.outcome,
    });
    return result;
  }

  /**
   * Records the work, costs and latency of an attempt and pays its success
   * into the retry budgets. Work whose result reaches no caller is wasted.
   */
  #recordAttempt(
    stage: StageDispatch,
    { ms, target, outcome }: {
      ms: number;
      target: Target;
      outcome: Result<StageResult, Refusal>;
    },
  ): void {
    const { metrics } = this.#deps;
    const labels = { stage: stage.req.stage };
    const result = outcome.isOk() && !stage.hasSucceeded
      ? outcome.value
      : undefined;
    metrics.count("stage_work_ms_total", labels, ms);
    if (!result) metrics.count("stage_wasted_ms_total", labels, ms);
    this.#deps.costs?.add(stage.req, {
      attempts: 1,
      workMs: ms,
      ...(result ? resultCost(result) : { wastedMs: ms }),
    });
    if (outcome.isErr()) return;
    stage.hasSucceeded = true;
    this.#latency(stage).record(ms);
    this.#budgets = earnFor(this.#budgets, [
      organisationBudgetName(stage.req),
      targetBudgetName(target.id),
    ]);
  }

  #latency({ req }: StageDispatch) {
    const { pipeline, stage } = req;
    return this.#deps.metrics.durations("stage", { pipeline, stage });
  }

  #count(name: string, { req: { stage } }: StageDispatch): void {
    this.#deps.metrics.count(name, { stage });
  }
}

function hasCrashed({ reason }: Refusal): boolean {
  return reason === RefusalReason.TargetCrashed;
}

/** Costs that a result reports; a replayed result has none of its own. */
function resultCost(result: StageResult): Partial<Cost> {
  const { serviceMs, queuedMs, tokens, replayed } = result;
  return replayed
    ? { results: 1 }
    : { results: 1, serviceMs, queuedMs, tokens };
}

/** Evidence of an attempt's outcome about its target's health. */
function targetHealthOutcome(
  { req }: StageDispatch,
  outcome: Result<StageResult, Refusal>,
): HealthOutcome {
  return outcome.match<HealthOutcome>(
    ({ serviceMs, replayed }) =>
      replayed
        ? { kind: "neutral" }
        : { kind: "done", stage: req.stage, serviceMs },
    ({ reason }) => healthOutcomeOf(reason),
  );
}

function settledOutcome(
  settled: SettledOutcome,
  stage: StageDispatch,
): Result<StageResult, Refusal> {
  switch (settled.kind) {
    case "done":
      return ok(settled.result);
    case "refused":
      return err(settled.refusal);
    case "not-run":
      stage.claimVersion = settled.version;
      return err(
        closedBeforeRun("The answer was lost before the call could run"),
      );
  }
}
