/**
 * Sends a stage call to a target and retries where that is safe.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import {
  type CallEvent,
  callId,
  notRun,
  outcomeUnknown,
  Proof,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
  type TargetId,
} from "../model/mod.ts";
import { type Budget, createBudget, earn, spend } from "../retry/mod.ts";
import type { Metrics, Tracing } from "../telemetry/mod.ts";
import type { Directory } from "./directory.ts";
import { type CallVerdict, verdictOf } from "./pool_router.ts";

const MAX_ATTEMPTS = 3;
const RETRY_RATIO = 0.1;
const MAX_SAVED_RETRIES = 20;
const RETRY_PAUSE_MS = 20;
/** Longest silence on an answer stream, in milliseconds. */
const SILENCE_MS = 2_000;
const RETRY_AFTER_MS = 1_000;

/** A stage call before its target and attempt are chosen. */
export type StageRequest = Omit<
  StageCall,
  "callId" | "target" | "remainingMs" | "traceparent"
>;

/** Options of a dispatch. */
export interface DispatchOptions {
  readonly pool: string;
  /** Monotonic time at which the answer is due, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  /** Receives generated text; a retry after text was passed on is not made. */
  readonly onText?: (text: string) => void;
}

/** Sends stage calls. */
export class Dispatcher {
  readonly #directory: Directory;
  readonly #metrics: Metrics;
  readonly #tracing: Tracing;
  #budget: Budget = createBudget({
    ratio: RETRY_RATIO,
    max: MAX_SAVED_RETRIES,
  });

  constructor(
    opts: {
      directory: Directory;
      metrics: Metrics;
      tracing: Tracing;
    },
  ) {
    this.#directory = opts.directory;
    this.#metrics = opts.metrics;
    this.#tracing = opts.tracing;
  }

  /** Runs a stage call to its final result or refusal. */
  async dispatch(
    req: StageRequest,
    opts: DispatchOptions,
  ): Promise<Result<StageResult, Refusal>> {
    const tried = new Set<TargetId>();
    let passedOn = false;
    const onText = (text: string) => {
      passedOn = true;
      opts.onText?.(text);
    };
    for (let attempt = 1;; attempt += 1) {
      const outcome = await this.#attempt(req, attempt, tried, {
        ...opts,
        onText,
      });
      if (outcome.isOk()) {
        this.#budget = earn(this.#budget);
        return outcome;
      }
      const refusal = outcome.error;
      const retry = !passedOn && attempt < MAX_ATTEMPTS &&
        this.#mayRetry(req, refusal, opts);
      if (!retry) return outcome;
      this.#metrics.count("retries_total", { stage: req.stage });
      await sleep(RETRY_PAUSE_MS, opts.signal);
    }
  }

  #mayRetry(
    req: StageRequest,
    refusal: Refusal,
    opts: DispatchOptions,
  ): boolean {
    if (opts.signal.aborted || monotonicMs() >= opts.deadlineAt) return false;
    if (!isRetryable(refusal)) return false;
    if (!req.idempotent && refusal.proof !== Proof.NotRun) return false;
    const left = spend(this.#budget);
    if (!left) return false;
    this.#budget = left;
    return true;
  }

  async #attempt(
    req: StageRequest,
    attempt: number,
    tried: Set<TargetId>,
    opts: DispatchOptions,
  ): Promise<Result<StageResult, Refusal>> {
    const remainingMs = opts.deadlineAt - monotonicMs();
    if (remainingMs <= 0) return err(tooLate());
    const target = this.#directory.choose(opts.pool, { tried, stage: req });
    if (!target) return err(noTarget(opts.pool));
    tried.add(target.id);
    const span = this.#tracing.start("entry.stage", {
      parent: opts.traceparent,
      attributes: { stage: req.stage, target: target.id, attempt },
    });
    const call: StageCall = {
      ...req,
      callId: callId(req.requestId, req.stage, attempt),
      target: target.id,
      remainingMs,
      traceparent: span.traceparent,
    };
    const end = this.#directory.begin(target, req);
    const outcome = await this.#send(call, target, opts);
    end(outcome.match<CallVerdict>(
      ({ serviceMs }) => ({ kind: "done", stage: req.stage, serviceMs }),
      ({ reason }) => verdictOf(reason),
    ));
    span.end(outcome.isErr() ? outcome.error.reason : undefined);
    return outcome;
  }

  async #send(
    call: StageCall,
    target: Target,
    opts: DispatchOptions,
  ): Promise<Result<StageResult, Refusal>> {
    const watch = new Watch(opts.signal, call.remainingMs);
    try {
      const events = await this.#directory.client(target)
        .call(call, watch.signal);
      for await (const event of events) {
        watch.heard();
        const last = this.#onEvent(event, { call, target, opts });
        if (last) return last;
      }
      return err(cutOff(call, "The answer stream has no last event"));
    } catch (failure) {
      return err(this.#connectionRefusal(call, target, failure, watch));
    } finally {
      watch.end();
    }
  }

  #onEvent(
    event: CallEvent,
    { call, target, opts }: {
      call: StageCall;
      target: Target;
      opts: DispatchOptions;
    },
  ): Result<StageResult, Refusal> | undefined {
    if ("load" in event) this.#directory.report(target, event.load);
    switch (event.kind) {
      case "heartbeat":
        return undefined;
      case "chunk":
        if (event.callId === call.callId) opts.onText?.(event.text);
        return undefined;
      case "result":
        return event.result.callId === call.callId
          ? ok(event.result)
          : this.#crossed(call);
      case "refused":
        return event.callId === call.callId
          ? err(event.refusal)
          : this.#crossed(call);
    }
  }

  #crossed(call: StageCall): undefined {
    this.#metrics.count("answers_dropped_total", { stage: call.stage });
    return undefined;
  }

  #connectionRefusal(
    call: StageCall,
    target: Target,
    failure: unknown,
    watch: Watch,
  ): Refusal {
    if (isNotSent(failure)) {
      this.#directory.suspect(target);
      return notRun(
        RefusalReason.TargetUnreachable,
        `No connection to the agent of ${target.id}`,
        RETRY_AFTER_MS,
      );
    }
    if (watch.isSilent) this.#directory.suspect(target);
    return cutOff(call, `The connection to ${target.id} was lost`);
  }
}

/** Aborts an attempt that is silent for too long or past its deadline. */
class Watch {
  readonly #abort = new AbortController();
  readonly signal: AbortSignal;
  #timer: NodeJS.Timeout | undefined;
  #silent = false;

  constructor(signal: AbortSignal, remainingMs: number) {
    this.signal = timeoutSignal(remainingMs, signal, this.#abort.signal);
    this.heard();
  }

  get isSilent(): boolean {
    return this.#silent;
  }

  /** Restarts the wait for the next event. */
  heard(): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      this.#silent = true;
      this.#abort.abort();
    }, SILENCE_MS);
  }

  end(): void {
    clearTimeout(this.#timer);
    this.#abort.abort();
  }
}

const RETRYABLE: ReadonlySet<string> = new Set([
  RefusalReason.OverLimit,
  RefusalReason.ColdTarget,
  RefusalReason.TargetUnreachable,
  RefusalReason.TargetFailed,
  RefusalReason.Leaving,
  RefusalReason.DomainOut,
  RefusalReason.NotConfirmed,
  RefusalReason.Silent,
]);

function isRetryable(refusal: Refusal): boolean {
  return RETRYABLE.has(refusal.reason);
}

/** True when the error proves that nothing was written to the agent's socket. */
function isNotSent(failure: unknown): boolean {
  const codes = ["ECONNREFUSED", "EHOSTUNREACH", "UND_ERR_CONNECT_TIMEOUT"];
  return causes(failure).some((cause) => codes.includes(String(cause.code)));
}

function causes(failure: unknown): { code?: unknown }[] {
  if (!(failure instanceof Error)) return [];
  return [failure as { code?: unknown }, ...causes(failure.cause)];
}

function cutOff(call: StageCall, detail: string): Refusal {
  const refusal = outcomeUnknown(RefusalReason.Silent, detail, RETRY_AFTER_MS);
  return call.idempotent ? { ...refusal } : refusal;
}

function tooLate(): Refusal {
  return notRun(
    RefusalReason.DeadlineExceeded,
    "The deadline passed before the stage was sent",
    RETRY_AFTER_MS,
  );
}

function noTarget(pool: string): Refusal {
  return notRun(
    RefusalReason.NoTarget,
    `No target of pool ${pool} takes work`,
    RETRY_AFTER_MS,
  );
}
