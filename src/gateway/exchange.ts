/**
 * Handles one request from its arrival to its final response.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { type BuildHolder, RouteKind } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { ChainClient, StagedInputs } from "./chain_client.ts";
import type { FirstByteTimes } from "./first_byte_times.ts";
import {
  type CallerRequest,
  type CallerResponse,
  type Refusal,
  RefusalKind,
  type RunningCall,
  type TargetClient,
} from "./ports.ts";
import { type Admitted, type AttemptEnd, Relay } from "./relay.ts";
import type { TargetTracker } from "./target_tracker.ts";

/** Services that exchanges use. */
export interface ExchangeDeps {
  readonly tracker: TargetTracker;
  readonly chains: ChainClient;
  readonly client: TargetClient;
  readonly firstByteTimes: FirstByteTimes;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Attempts that may fail without reaching their target before a request is
 * refused.
 */
const MAX_UNSENT_ATTEMPTS = 3;
/**
 * Time after which callers may retry when no target is open, in milliseconds.
 */
const NO_TARGET_RETRY_AFTER_MS = 300;
/**
 * Time after which callers may retry after a target refused, in milliseconds.
 */
const TARGET_FULL_RETRY_AFTER_MS = 200;
/** Largest share of their remaining time that callers wait before a retry. */
const MAX_RETRY_SHARE = 1 / 3;
/** Longest time after which callers that met a long queue may retry, in ms. */
const MAX_QUEUE_RETRY_AFTER_MS = 6_000;
/** Largest share by which that time is shortened at random. */
const RETRY_JITTER = 0.3;
/** Shortest remaining time in which a request is worth sending, in ms. */
const MIN_SEND_MS = 20;

/** Serves one request. */
export class Exchange {
  readonly #admitted: Admitted;
  readonly #response: CallerResponse;
  readonly #deps: ExchangeDeps;
  readonly #deadlineAt: number;
  readonly #ended = new AbortController();
  readonly #tried = new Set<string>();
  #attempts = 0;
  #unsentAttempts = 0;
  /** True once a target may have begun to run the request. */
  #mayHaveRun = false;
  #call: RunningCall | undefined;
  #lastEventId: string | undefined;
  /** Target that began the stream; only its build may go on with it. */
  #origin: BuildHolder | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    admitted: Admitted,
    response: CallerResponse,
    deps: ExchangeDeps,
  ) {
    const { req, route } = admitted;
    this.#admitted = admitted;
    this.#response = response;
    this.#deps = deps;
    this.#lastEventId = req.lastEventId;
    this.#deadlineAt = req.receivedAt +
      Math.min(route.timeoutMs, req.deadlineMs ?? route.timeoutMs);
  }

  /**
   * Resolves when the final response was sent or the caller has disconnected.
   */
  async run(): Promise<void> {
    this.#timer = setTimeout(
      () => this.#onDeadline(),
      Math.max(0, this.#deadlineAt - monotonicMs()),
    );
    this.#response.gone.addEventListener("abort", () => this.#onCallerGone(), {
      once: true,
    });
    this.#deps.tracker.request(this.#admitted.pool.name);
    while (!this.#ended.signal.aborted) {
      const inputs = await this.#runStages();
      if (inputs === undefined) return;
      const end = await this.#attempt(inputs);
      inputs.release();
      if (!this.#shouldRetry(end)) return;
    }
  }

  /** Runs the stages; undefined when the exchange has ended. */
  async #runStages(): Promise<StagedInputs | undefined> {
    const { req, route, pool, catalog, priority, ageMs, sizeRank } =
      this.#admitted;
    const affinity = affinityOf(req);
    const firstByteMs = this.#deps.firstByteTimes.of(route.name);
    if (route.stages.length === 0) return { results: [], release: () => {} };
    const outcome = await this.#deps.chains.run({
      req,
      route,
      catalog,
      priority,
      dueAt: req.receivedAt - ageMs + route.latencyGoalMs - firstByteMs,
      expiresAt: this.#deadlineAt - firstByteMs,
      sizeRank,
      resultDomain: affinity === undefined
        ? undefined
        : this.#deps.tracker.preferredDomain(pool, affinity, this.#origin),
      signal: this.#ended.signal,
    });
    if (outcome.isOk()) return outcome.value;
    const remainingMs = this.#deadlineAt - monotonicMs();
    this.#abandon(outcome.error.reason, queueRetryMs(remainingMs));
    return undefined;
  }

  /** Sends the request to one target. */
  #attempt(inputs: StagedInputs): Promise<AttemptEnd> {
    const { req, route, pool, organisation } = this.#admitted;
    if (this.#ended.signal.aborted) return Promise.resolve({ kind: "over" });
    const remainingMs = Math.floor(this.#deadlineAt - monotonicMs());
    if (remainingMs < MIN_SEND_MS) {
      this.#abandon("its time has passed", 0);
      return Promise.resolve({ kind: "over" });
    }
    const reservation = this.#deps.tracker.reserve(pool, {
      affinity: affinityOf(req),
      exclude: this.#tried,
      sameBuildAs: this.#origin,
    });
    if (!reservation) {
      this.#abandon(
        this.#origin
          ? "no target of the stream's build is open"
          : "no target is open",
        NO_TARGET_RETRY_AFTER_MS,
      );
      return Promise.resolve({ kind: "over" });
    }
    const { target } = reservation;
    this.#log("sent", {
      target: target.id,
      build: target.build,
      attempt: this.#attempts + 1,
      remainingMs,
      tried: this.#tried.size,
    });
    return new Promise((resolve) => {
      const relay = new Relay({
        admitted: this.#admitted,
        response: this.#response,
        reservation,
        inputs,
        usualMs: this.#deps.firstByteTimes.of(route.name),
        isResumed: this.#response.hasBegun,
        isOver: () => this.#ended.signal.aborted,
        onEvent: (id) => {
          this.#origin ??= target;
          this.#lastEventId = id ?? this.#lastEventId;
        },
        onFirstBytes: (ms) => this.#deps.firstByteTimes.observe(route.name, ms),
        onEnd: (end) => {
          this.#recordAttempt(target.id, end);
          resolve(end);
        },
      });
      const call = this.#deps.client.send({
        target,
        req,
        remainingMs,
        organisation: organisation?.name,
        urgency: (organisation?.priority ?? 0) + route.priority,
        inputs: route.stages.length > 0 ? inputs.results : undefined,
        lastEventId: this.#lastEventId,
        maxConnections: reservation.maxConnections,
      }, relay);
      this.#call = call;
      relay.attach(call);
    });
  }

  #recordAttempt(target: string, end: AttemptEnd): void {
    this.#call = undefined;
    this.#tried.add(target);
    const isAttempt = end.kind !== "unsent" &&
      !(end.kind === "not-run" && !end.isAttempt);
    if (isAttempt) this.#attempts += 1;
    else this.#unsentAttempts += 1;
    if (end.kind === "broken" || end.kind === "error-answer") {
      this.#mayHaveRun = true;
    }
    if (end.kind === "over") {
      if (!this.#ended.signal.aborted) this.#finish("answered", { target });
      return;
    }
    this.#log("attempt_failed", {
      target,
      outcome: end.kind,
      detail: "detail" in end ? end.detail : undefined,
      status: end.kind === "error-answer" ? end.head.status : undefined,
    });
  }

  /**
   * Decides whether to retry after an attempt; otherwise sends the final
   * response.
   */
  #shouldRetry(end: AttemptEnd): boolean {
    if (this.#ended.signal.aborted || end.kind === "over") return false;
    const { route, pool } = this.#admitted;
    if (end.kind === "unsent") return this.#retryUnsent(end.detail);
    if (end.kind === "not-run" && !end.isAttempt) {
      return this.#retryUnsent("other target at the address");
    }
    const mayRetry = end.kind === "not-run" ||
      route.kind === RouteKind.Idempotent ||
      (route.kind === RouteKind.Stream && route.isResumable);
    const hasAttemptLeft = this.#attempts < route.maxAttempts;
    if (
      mayRetry && hasAttemptLeft && this.#deps.tracker.spendRetry(pool.name)
    ) {
      return true;
    }
    this.#finishFailed(end);
    return false;
  }

  #retryUnsent(detail: string): boolean {
    if (this.#unsentAttempts < MAX_UNSENT_ATTEMPTS) return true;
    if (this.#response.hasBegun) this.#breakOff(detail);
    else this.#abandon(detail, NO_TARGET_RETRY_AFTER_MS);
    return false;
  }

  /** Sends the final response after the last attempt failed. */
  #finishFailed(end: AttemptEnd): void {
    if (this.#response.hasBegun) return this.#breakOff(end.kind);
    if (end.kind === "not-run") {
      return this.#abandon("the target refused", TARGET_FULL_RETRY_AFTER_MS);
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
  #abandon(reason: string, retryAfterMs: number): void {
    if (this.#ended.signal.aborted) return;
    if (this.#response.hasBegun) return this.#breakOff(reason);
    if (this.#mayHaveRun) {
      return this.#refuse({ kind: RefusalKind.Unknown, reason });
    }
    this.#refuse({ kind: RefusalKind.NotRun, reason, retryAfterMs });
  }

  #refuse(refusal: Refusal): void {
    if (this.#ended.signal.aborted) return;
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

  #onDeadline(): void {
    if (this.#ended.signal.aborted) return;
    if (this.#response.hasBegun) return this.#breakOff("its time has passed");
    const isSent = this.#call !== undefined || this.#mayHaveRun;
    this.#refuse({
      kind: isSent ? RefusalKind.TimedOut : RefusalKind.NotRun,
      reason: "its time has passed",
    });
  }

  #onCallerGone(): void {
    if (this.#ended.signal.aborted) return;
    this.#finish("caller-gone", {});
  }

  #finish(
    outcome: string,
    fields: Record<string, string | number | undefined>,
  ) {
    clearTimeout(this.#timer);
    this.#ended.abort();
    this.#call?.abort(outcome);
    const { route } = this.#admitted;
    const tookMs = monotonicMs() - this.#admitted.req.receivedAt;
    this.#deps.metrics.count("requests_total", { route: route.name, outcome });
    this.#deps.metrics.durations("request", { outcome }).record(tookMs);
    this.#log("request_ended", {
      outcome,
      tookMs: Math.round(tookMs),
      attempts: this.#attempts,
      build: this.#origin?.build,
      ...fields,
    });
  }

  #log(
    event: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.#deps.log.info(event, { request: this.#admitted.req.id, ...fields });
  }
}

/**
 * Time after which a caller that met a long queue may retry, in milliseconds.
 * Its retry misses the latency goal in any case, and it may retry once. A burst
 * lasts for seconds, so the latest possible time is the best one. The jitter
 * keeps these callers from returning together as the next burst.
 */
function queueRetryMs(remainingMs: number): number {
  const ms = Math.min(MAX_QUEUE_RETRY_AFTER_MS, remainingMs * MAX_RETRY_SHARE);
  return Math.round(ms * (1 - RETRY_JITTER * Math.random()));
}

/**
 * Name of the most specific shared segment of the prompt. The last segment
 * counts as unshared unless it is the only one.
 */
function affinityOf({ promptParts }: CallerRequest): string | undefined {
  return promptParts.at(-2) ?? promptParts.at(-1);
}
