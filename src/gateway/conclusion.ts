/**
 * Final response of a request, and the record of how the request ended.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { catalogFields } from "./catalog_trace.ts";
import type { StageHandler } from "./chain_client.ts";
import { type CallerResponse, type Refusal, RefusalKind } from "./ports.ts";
import type { Admitted, AttemptEnd } from "./relay.ts";

/**
 * Time after which callers may retry after a target refused, in milliseconds.
 */
const TARGET_FULL_RETRY_AFTER_MS = 200;

/**
 * Time after which callers may retry when this process ends, in milliseconds:
 * they reach another one at once.
 */
export const STOPPED_RETRY_AFTER_MS = 0;

type LogFields = Record<string, string | number | undefined>;

/** Attempts of a request so far. */
export interface AttemptHistory {
  readonly attempts: number;
  /** Attempts that failed without reaching their target. */
  readonly unsentAttempts: number;
  /** Attempts that have not ended. */
  readonly openAttempts: number;
  /** True once a target may have begun to run the request, or may do so yet. */
  readonly mayHaveRun: boolean;
  /** Build to which a stream keeps. */
  readonly build?: string;
  /** Other process that ran the stages, or refused them last. */
  readonly stageHandler?: StageHandler;
}

/** Services that conclusions use. */
export interface ConclusionDeps {
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Concludes one request, once. */
export class Conclusion {
  readonly #admitted: Admitted;
  readonly #response: CallerResponse;
  readonly #history: () => AttemptHistory;
  readonly #deps: ConclusionDeps;
  readonly #over = new AbortController();

  constructor(
    admitted: Admitted,
    response: CallerResponse,
    history: () => AttemptHistory,
    deps: ConclusionDeps,
  ) {
    this.#admitted = admitted;
    this.#response = response;
    this.#history = history;
    this.#deps = deps;
  }

  /** Aborts when the request has ended; the reason is its outcome. */
  get signal(): AbortSignal {
    return this.#over.signal;
  }

  get isOver(): boolean {
    return this.#over.signal.aborted;
  }

  /** Records that the response of a target was forwarded. */
  answered(target: string, status: number | undefined): void {
    this.#finish("answered", { target, status });
  }

  /**
   * Sends the final response after the last attempt failed. `reopensInMs` is
   * the time until a target takes requests again, if none takes any now.
   */
  failed(end: AttemptEnd, reopensInMs = TARGET_FULL_RETRY_AFTER_MS): void {
    if (this.isOver) return;
    if (this.#response.hasBegun) return this.#breakOff(end.kind);
    if (end.kind === "not-run") {
      return this.abandon("the target refused", reopensInMs);
    }
    if (end.kind === "error-answer") {
      this.#response.begin(end.head);
      this.#response.write(end.body, () => {});
      this.#response.end();
      return this.#finish("error-answer", { status: end.head.status });
    }
    const reason = "detail" in end ? end.detail : end.kind;
    this.#refuse({ kind: RefusalKind.Unknown, reason });
  }

  /**
   * Ends a request that is not sent again: refuses it as not run, as unknown
   * when a target may have run it, or aborts a response that has begun.
   */
  abandon(reason: string, retryAfterMs: number): void {
    if (this.isOver) return;
    if (this.#response.hasBegun) return this.#breakOff(reason);
    if (this.#history().mayHaveRun) {
      return this.#refuse({ kind: RefusalKind.Unknown, reason });
    }
    this.#refuse({ kind: RefusalKind.NotRun, reason, retryAfterMs });
  }

  /** Ends the request at its deadline. */
  timedOut(): void {
    if (this.isOver) return;
    const reason = "its time has passed";
    if (this.#response.hasBegun) return this.#breakOff(reason);
    this.#refuse({
      kind: this.#history().mayHaveRun
        ? RefusalKind.TimedOut
        : RefusalKind.NotRun,
      reason,
    });
  }

  /** Ends the request because this process ends. */
  stopped(): void {
    if (this.isOver) return;
    const reason = "the process is stopping";
    if (this.#response.hasBegun) return this.#breakOff(reason);
    if (this.#history().mayHaveRun) {
      return this.#refuse({ kind: RefusalKind.Unknown, reason });
    }
    this.#refuse({
      kind: RefusalKind.NotRun,
      reason,
      retryAfterMs: STOPPED_RETRY_AFTER_MS,
    });
  }

  /** Records that the caller has left. */
  callerGone(): void {
    if (!this.isOver) this.#finish("caller-gone", {});
  }

  #refuse(refusal: Refusal): void {
    this.#response.refuse(refusal);
    this.#finish(refusal.kind, {
      reason: refusal.reason,
      retryAfterMs: refusal.retryAfterMs,
    });
  }

  #breakOff(reason: string): void {
    this.#response.cut();
    this.#finish("cut", { reason });
  }

  #finish(outcome: string, fields: LogFields): void {
    // Aborting ends the open attempts.
    const { openAttempts } = this.#history();
    this.#over.abort(outcome);
    const { req, route, standing } = this.#admitted;
    const { attempts, unsentAttempts, build, stageHandler } = this.#history();
    const tookMs = monotonicMs() - req.receivedAt;
    this.#deps.metrics.count("requests_total", { route: route.name, outcome });
    this.#deps.metrics.durations("request", { outcome }).record(tookMs);
    this.#deps.log.info("request_ended", {
      request: req.id,
      outcome,
      tookMs: Math.round(tookMs),
      attempts,
      unsentAttempts,
      openAttempts,
      build,
      ...catalogFields(standing),
      stageOwner: stageHandler?.owner,
      stageCatalog: stageHandler?.catalog,
      ...fields,
    });
  }
}
