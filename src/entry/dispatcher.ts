/**
 * Sends a stage call to a target; retries and hedges it where that is safe.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  callId,
  type Cost,
  type Refusal,
  type StageCall,
  type StageResult,
  type Target,
} from "../model/mod.ts";
import {
  type BudgetBook,
  createBook,
  earnFor,
  finalRefusal,
  HEDGE_QUANTILE,
  hedgeAfterMs,
  mayRetry,
  spendFor,
} from "../retry/mod.ts";
import type { Metrics, Tracing } from "../telemetry/mod.ts";
import type { AdmissionService } from "./admission_service.ts";
import { Attempt, type AttemptOutcome, type TargetBook } from "./attempt.ts";
import type { CostBook } from "./cost_book.ts";
import {
  isClosedByOwn,
  type KeyRecord,
  neverRuns,
  type Settled,
} from "./key_record.ts";
import { type CallVerdict, verdictOf } from "./pool_router.ts";
import { firstSuccess, type Sent } from "./race.ts";
import {
  type DispatchOptions,
  organisationBudget,
  StageDispatch,
  type StageRequest,
  targetBudget,
} from "./stage_dispatch.ts";
import { callerGone, noTarget, superseded, tooLate } from "./unsent.ts";

const RETRY_RATIO = 0.1;
const MAX_SAVED_RETRIES = 20;
const RETRY_PAUSE_MS = 20;

/** What a dispatcher is made of. */
export interface DispatcherParts {
  readonly directory: TargetBook;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** Without it, calls whose answers were lost stay unknown. */
  readonly record?: KeyRecord;
  readonly costs?: CostBook;
  /** Learns the load that rides on answers. */
  readonly admission?: AdmissionService;
}

/** Sends stage calls. */
export class Dispatcher {
  readonly #parts: DispatcherParts;
  #budgets: BudgetBook = createBook({
    ratio: RETRY_RATIO,
    max: MAX_SAVED_RETRIES,
  });

  constructor(parts: DispatcherParts) {
    this.#parts = parts;
  }

  /** Runs a stage call to its final result or refusal. */
  dispatch(
    req: StageRequest,
    opts: DispatchOptions,
  ): Promise<Result<StageResult, Refusal>> {
    const stage = new StageDispatch(req, opts);
    return this.#attemptUntilFinal(stage);
  }

  async #attemptUntilFinal(
    stage: StageDispatch,
  ): Promise<Result<StageResult, Refusal>> {
    while (true) {
      const { attempts } = stage;
      const outcome = stage.req.idempotent
        ? await this.#hedged(stage)
        : await this.#single(stage);
      if (outcome.isOk()) return outcome;
      const { error: refusal } = outcome;
      const wasSent = stage.attempts > attempts;
      if (wasSent || attempts === 0) stage.refusals.push(refusal);
      if (!wasSent || !this.#takeRetry(stage, refusal)) {
        return err(finalRefusal(stage.refusals));
      }
      this.#count("retries_total", stage);
      this.#parts.costs?.add(stage.req, { retries: 1 });
      await sleep(RETRY_PAUSE_MS, stage.opts.signal);
    }
  }

  /** Pays for a retry; false when the call must not be sent again. */
  #takeRetry(stage: StageDispatch, refusal: Refusal): boolean {
    const { req, opts, attempts: attempt } = stage;
    if (stage.passedOn || opts.signal.aborted || stage.isLate) return false;
    if (!mayRetry(refusal, { idempotent: req.idempotent, attempt })) {
      return false;
    }
    return this.#spend(stage);
  }

  #spend(stage: StageDispatch): boolean {
    const left = spendFor(this.#budgets, stage.budgetNames);
    if (!left) {
      this.#count("retries_denied_total", stage);
      return false;
    }
    this.#budgets = left;
    return true;
  }

  /** One attempt at a non-idempotent call, settled by the record if cut off. */
  async #single(stage: StageDispatch): Promise<Result<StageResult, Refusal>> {
    const ready = await this.#refreshVersion(stage);
    if (ready.isErr()) return err(ready.error);
    const sent = this.#send(stage, stage.opts.signal);
    if (sent.isErr()) return err(sent.error);
    const { call, ended } = sent.value;
    const { outcome, unsettled } = await ended;
    const { record } = this.#parts;
    if (!unsettled || !record) return outcome;
    const settled = await record.settle(call, stage.opts);
    this.#count("calls_settled_total", stage);
    return outcomeOf(settled, stage);
  }

  /** Before a retry, takes over the version that an agent's answer left. */
  async #refreshVersion(stage: StageDispatch): Promise<Result<void, Refusal>> {
    const { record } = this.#parts;
    const { organisation, idempotencyKey: key, requestId } = stage.req;
    if (!record || !key || stage.attempts === 0 || stage.hasFreshVersion) {
      return ok(undefined);
    }
    const read = await record.read(organisation, [key]);
    if (read.isErr()) return err(read.error);
    const { claim, version } = read.value[0] ?? { version: 0 };
    if (version === stage.claimVersion) return ok(undefined);
    if (!claim || !isClosedByOwn(claim, { requestId })) {
      return err(superseded());
    }
    stage.claimVersion = version;
    return ok(undefined);
  }

  /** An attempt at an idempotent call, and a second one if it is slow. */
  async #hedged(stage: StageDispatch): Promise<Result<StageResult, Refusal>> {
    const abort = new AbortController();
    const signal = AbortSignal.any([abort.signal, stage.opts.signal]);
    const first = this.#send(stage, signal);
    if (first.isErr()) return err(first.error);
    try {
      const racers = [first.value];
      const waitMs = this.#hedgeWait(stage);
      const early = waitMs === undefined
        ? await first.value.ended
        : await Promise.race([first.value.ended, sleep(waitMs, signal)]);
      const mayHedge = !early && !stage.passedOn && !this.#isCrowded(stage);
      if (mayHedge && this.#spend(stage)) {
        this.#count("hedges_total", stage);
        this.#parts.costs?.add(stage.req, { hedges: 1 });
        this.#send(stage, signal).map((sent) => racers.push(sent));
      }
      return await firstSuccess(racers, stage);
    } finally {
      abort.abort();
    }
  }

  /** Hedges while calls wait would take the places of other calls. */
  #isCrowded({ req, opts }: StageDispatch): boolean {
    const call = { ...req, pool: opts.pool };
    return this.#parts.admission?.isCrowded(call) ?? false;
  }

  #hedgeWait(stage: StageDispatch): number | undefined {
    const latency = this.#latency(stage);
    const remainingMs = stage.opts.deadlineAt - monotonicMs();
    return hedgeAfterMs({ idempotent: stage.req.idempotent, remainingMs }, {
      count: latency.count,
      slowMs: latency.quantile(HEDGE_QUANTILE),
    });
  }

  /** Starts the next attempt. */
  #send(stage: StageDispatch, signal: AbortSignal): Result<Sent, Refusal> {
    const { req, opts } = stage;
    if (stage.isLate) return err(tooLate());
    if (opts.signal.aborted) return err(callerGone());
    const { directory } = this.#parts;
    const target = directory.choose(opts.pool, {
      tried: stage.tried,
      stage: req,
    });
    if (!target) return err(noTarget(opts.pool));
    const attempt = stage.begin(target);
    const span = this.#parts.tracing.start("entry.stage", {
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
    const ended = this.#follow({ stage, call, target, signal })
      .then((end) => {
        span.end(end.outcome.isErr() ? end.outcome.error.reason : undefined);
        return end;
      });
    return ok({ call, ended });
  }

  async #follow(
    { stage, call, target, signal }: {
      stage: StageDispatch;
      call: StageCall;
      target: Target;
      signal: AbortSignal;
    },
  ): Promise<AttemptOutcome> {
    const { directory, metrics, admission } = this.#parts;
    const end = directory.begin(target, stage.req);
    const startedAt = monotonicMs();
    const attempt = new Attempt(
      { directory, metrics, admission },
      call,
      target,
    );
    const onText = stage.textSink(call.callId);
    const ended = await attempt.run({ signal, onText });
    end(verdictAbout(stage, ended.outcome));
    this.#account(stage, {
      ms: monotonicMs() - startedAt,
      target,
      outcome: ended.outcome,
    });
    return ended;
  }

  /** Counts the work of an attempt, and as wasted what no caller gets. */
  #account(
    stage: StageDispatch,
    { ms, target, outcome }: {
      ms: number;
      target: Target;
      outcome: Result<StageResult, Refusal>;
    },
  ): void {
    const { metrics } = this.#parts;
    const labels = { stage: stage.req.stage };
    const result = outcome.isOk() && !stage.won ? outcome.value : undefined;
    metrics.count("stage_work_ms_total", labels, ms);
    if (!result) metrics.count("stage_wasted_ms_total", labels, ms);
    this.#parts.costs?.add(stage.req, {
      attempts: 1,
      workMs: ms,
      ...(result ? resultCost(result) : { wastedMs: ms }),
    });
    if (outcome.isErr()) return;
    stage.won = true;
    this.#latency(stage).record(ms);
    this.#budgets = earnFor(this.#budgets, [
      organisationBudget(stage.req),
      targetBudget(target.id),
    ]);
  }

  #latency({ req }: StageDispatch) {
    const { pipeline, stage } = req;
    return this.#parts.metrics.durations("stage", { pipeline, stage });
  }

  #count(name: string, { req: { stage } }: StageDispatch): void {
    this.#parts.metrics.count(name, { stage });
  }
}

/** Cost that a result reports. */
function resultCost(result: StageResult): Partial<Cost> {
  const { serviceMs, queuedMs, tokens, replayed } = result;
  return replayed
    ? { results: 1 }
    : { results: 1, serviceMs, queuedMs, tokens };
}

/** What an outcome says about the target's health. */
function verdictAbout(
  { req }: StageDispatch,
  outcome: Result<StageResult, Refusal>,
): CallVerdict {
  return outcome.match<CallVerdict>(
    ({ serviceMs, replayed }) =>
      replayed
        ? { kind: "neutral" }
        : { kind: "done", stage: req.stage, serviceMs },
    ({ reason }) => verdictOf(reason),
  );
}

function outcomeOf(
  settled: Settled,
  stage: StageDispatch,
): Result<StageResult, Refusal> {
  switch (settled.kind) {
    case "done":
      return ok(settled.result);
    case "refused":
      return err(settled.refusal);
    case "not-run":
      stage.claimVersion = settled.version;
      return err(neverRuns("The answer was lost before the call could run"));
  }
}
