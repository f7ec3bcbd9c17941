/**
 * Handles one request from its arrival to its final response.
 *
 * @module
 */

import type { Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import { type BuildHolder, RouteKind } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import {
  AttemptPreparer,
  NO_TARGET_RETRY_AFTER_MS,
  type PreparedAttempt,
  type PreparerDeps,
  type Unprepared,
} from "./attempt_preparer.ts";
import {
  type CallerResponse,
  type Refusal,
  RefusalKind,
  type RunningCall,
  type TargetClient,
} from "./ports.ts";
import { type Admitted, type AttemptEnd, Relay } from "./relay.ts";
import { discardAttempt, Replacement } from "./replacement.ts";
import { streamOf, type StreamOriginMemory } from "./stream_binding.ts";

/** Services that exchanges use. */
export interface ExchangeDeps extends PreparerDeps {
  readonly client: TargetClient;
  readonly origins: StreamOriginMemory;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/**
 * Attempts that may fail without reaching their target before a request is
 * refused.
 */
const MAX_UNSENT_ATTEMPTS = 3;
/**
 * Time after which callers may retry after a target refused, in milliseconds.
 */
const TARGET_FULL_RETRY_AFTER_MS = 200;

/** Serves one request. */
export class Exchange {
  readonly #admitted: Admitted;
  readonly #response: CallerResponse;
  readonly #deps: ExchangeDeps;
  readonly #deadlineAt: number;
  readonly #preparer: AttemptPreparer;
  readonly #ended = new AbortController();
  readonly #tried = new Set<string>();
  #attempts = 0;
  #unsentAttempts = 0;
  /** True once a target may have begun to run the request. */
  #mayHaveRun = false;
  #call: RunningCall | undefined;
  #replacement: Replacement | undefined;
  #lastEventId: string | undefined;
  /** Target that began the stream; only its build may go on with it. */
  #origin: BuildHolder | undefined;
  /** True once an event was forwarded. */
  #hasEvents = false;
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
    this.#origin = admitted.origin;
    this.#deadlineAt = req.receivedAt +
      Math.min(route.timeoutMs, req.deadlineMs ?? route.timeoutMs);
    this.#preparer = new AttemptPreparer(admitted, this.#deadlineAt, deps);
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
    let attempt = await this.#usable(this.#prepare(this.#ended.signal));
    while (attempt) {
      const end = await this.#send(attempt);
      attempt.inputs.release();
      attempt = await this.#nextAttempt(end);
    }
  }

  #prepare(
    signal: AbortSignal,
  ): Promise<Result<PreparedAttempt, Unprepared>> {
    const choice = { exclude: this.#tried, sameBuildAs: this.#origin };
    return this.#preparer.prepare(choice, signal);
  }

  /** Waits for an attempt; ends the exchange if it cannot be made. */
  async #usable(
    prepared: Promise<Result<PreparedAttempt, Unprepared>>,
  ): Promise<PreparedAttempt | undefined> {
    const result = await prepared;
    if (result.isErr()) {
      const { reason, retryAfterMs } = result.error;
      this.#abandon(reason, retryAfterMs);
      return undefined;
    }
    if (!this.#ended.signal.aborted) return result.value;
    discardAttempt(result.value);
    return undefined;
  }

  /** Returns the attempt after one that has ended, if another is made. */
  async #nextAttempt(end: AttemptEnd): Promise<PreparedAttempt | undefined> {
    const replacement = this.#replacement;
    this.#replacement = undefined;
    if (replacement?.isTaken || this.#shouldRetry(end)) {
      return await this.#usable(
        replacement?.prepared ?? this.#prepare(this.#ended.signal),
      );
    }
    replacement?.cancel();
    return undefined;
  }

  /**
   * Prepares the next attempt while a target is silent. The call to it ends
   * only once another target is certain to get the request: the silent one may
   * go on, and nothing else may be able to serve the request.
   */
  #replaceSilent(relay: Relay, target: string, silentMs: number): void {
    this.#log("target_silent", { target, silentMs });
    if (this.#replacement || !this.#mayReplace()) return;
    const replacement = new Replacement((signal) =>
      this.#prepare(AbortSignal.any([signal, this.#ended.signal]))
    );
    this.#replacement = replacement;
    replacement.prepared.then((result) => {
      // An attempt that ended meanwhile has passed it on to the next one.
      const isCurrent = this.#replacement === replacement;
      if (!isCurrent && !replacement.isCancelled) return;
      if (result.isErr()) {
        this.#log("replacement_failed", { reason: result.error.reason });
      } else if (isCurrent && this.#spendRetry()) {
        replacement.take();
        return relay.giveUp(`silent for ${silentMs} ms`);
      } else {
        discardAttempt(result.value);
      }
      if (isCurrent) this.#replacement = undefined;
    }).catch((err: unknown) =>
      this.#log("replacement_failed", { reason: String(err) })
    );
  }

  #mayReplace(): boolean {
    return this.#isRepeatable &&
      this.#attempts + 1 < this.#admitted.route.maxAttempts;
  }

  #cancelReplacement(): void {
    this.#replacement?.cancel();
    this.#replacement = undefined;
  }

  /** Sends the request to one target. */
  #send({ inputs, reservation }: PreparedAttempt): Promise<AttemptEnd> {
    const { req, route, organisation } = this.#admitted;
    const remainingMs = Math.floor(this.#deadlineAt - monotonicMs());
    const { target } = reservation;
    this.#log("sent", {
      target: target.id,
      build: target.build,
      attempt: this.#attempts + 1,
      remainingMs,
      tried: this.#tried.size,
    });
    this.#tried.add(target.id);
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
          this.#recordOrigin(target);
          this.#lastEventId = id ?? this.#lastEventId;
        },
        onSilent: (ms) => this.#replaceSilent(relay, target.id, ms),
        onProgress: () => this.#cancelReplacement(),
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

  /** Remembers which build the stream keeps to, at its first event here. */
  #recordOrigin({ build }: BuildHolder): void {
    if (this.#hasEvents) return;
    this.#hasEvents = true;
    this.#origin ??= { build };
    const { req, route, pool } = this.#admitted;
    if (!route.isResumable) return;
    this.#deps.origins.begun(streamOf(req), { pool: pool.name, build });
  }

  #recordAttempt(target: string, end: AttemptEnd): void {
    this.#call = undefined;
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
    if (end.kind === "unsent") return this.#retryUnsent(end.detail);
    if (end.kind === "not-run" && !end.isAttempt) {
      return this.#retryUnsent("other target at the address");
    }
    const mayRetry = end.kind === "not-run" || this.#isRepeatable;
    const hasAttemptLeft = this.#attempts < this.#admitted.route.maxAttempts;
    if (mayRetry && hasAttemptLeft && this.#spendRetry()) return true;
    this.#finishFailed(end);
    return false;
  }

  /** True when the request may be sent again after it may have run. */
  get #isRepeatable(): boolean {
    const { route } = this.#admitted;
    return route.kind === RouteKind.Idempotent ||
      (route.kind === RouteKind.Stream && route.isResumable);
  }

  #spendRetry(): boolean {
    return this.#deps.tracker.spendRetry(this.#admitted.pool.name);
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
    this.#cancelReplacement();
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
