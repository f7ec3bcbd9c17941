/**
 * Handles one request from its arrival to its final response.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { CrashWatch } from "../crashes/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type BuildHolder,
  RouteKind,
  type TimedCandidate,
} from "../serving/mod.ts";
import type { BeginningStream } from "../origins/mod.ts";
import type { HeldBytes } from "./answer_body.ts";
import {
  AttemptPreparer,
  discardAttempt,
  NO_TARGET_RETRY_AFTER_MS,
  type PreparedAttempt,
  type PreparerDeps,
  type Unprepared,
} from "./attempt_preparer.ts";
import type { StageHandler } from "./chain_client.ts";
import { Conclusion, type ConclusionDeps } from "./conclusion.ts";
import { Handover, type RunningAttempt } from "./handover.ts";
import { HeldResponse } from "./held_response.ts";
import type { CallerResponse, TargetClient } from "./ports.ts";
import type { PlannedStop } from "./planned_stop.ts";
import { type Admitted, type AttemptEnd, Relay } from "./relay.ts";
import type { ResponseTimes } from "./response_times.ts";
import { streamOf, type StreamOriginMemory } from "./stream_binding.ts";
import type { TargetTracker } from "./target_tracker.ts";

/** Services that exchanges use. */
export interface ExchangeDeps extends PreparerDeps, ConclusionDeps {
  readonly tracker: Pick<
    TargetTracker,
    "reserve" | "preferredDomain" | "reopensInMs" | "request" | "spendRetry"
  >;
  readonly client: Pick<TargetClient, "send">;
  readonly origins: StreamOriginMemory;
  readonly crashes: Pick<CrashWatch, "watch">;
  readonly heldBytes: HeldBytes;
  readonly stop: Pick<PlannedStop, "ended" | "remainingMs">;
  readonly responseTimes: ResponseTimes;
}

/**
 * Attempts that may fail without reaching their target before a request is
 * refused.
 */
const MAX_UNSENT_ATTEMPTS = 3;
/** Segments of a prompt that a log line names, which bounds its length. */
const LOGGED_SEGMENTS = 8;

/** Serves one request. */
export class Exchange {
  readonly #admitted: Admitted;
  readonly #response: HeldResponse;
  readonly #deps: ExchangeDeps;
  readonly #startedAt = monotonicMs();
  readonly #deadlineAt: number;
  readonly #preparer: AttemptPreparer;
  readonly #conclusion: Conclusion;
  readonly #tried = new Set<string>();
  /** Attempts that have not ended. */
  readonly #open = new Set<Relay>();
  #attempts = 0;
  #unsentAttempts = 0;
  /** True once a target may have begun to run the request. */
  #mayHaveRun = false;
  /** Other process that ran the stages, or refused them last. */
  #stageHandler: StageHandler | undefined;
  #current: RunningAttempt | undefined;
  #handover: Handover | undefined;
  #lastEventId: string | undefined;
  /** True while the stream has broken off inside the event after that one. */
  #expectsEvent = false;
  /** Target that began the stream; only its build may go on with it. */
  #origin: BuildHolder | undefined;
  /** True once an event was forwarded. */
  #hasEvents = false;

  constructor(
    admitted: Admitted,
    response: CallerResponse,
    deps: ExchangeDeps,
  ) {
    const { req, route } = admitted;
    this.#admitted = admitted;
    this.#response = new HeldResponse(response);
    this.#deps = deps;
    this.#lastEventId = req.lastEventId;
    this.#origin = admitted.origin;
    this.#deadlineAt = req.receivedAt +
      Math.min(route.timeoutMs, req.deadlineMs ?? route.timeoutMs);
    this.#preparer = new AttemptPreparer(admitted, this.#deadlineAt, deps);
    const history = () => ({
      attempts: this.#attempts,
      unsentAttempts: this.#unsentAttempts,
      openAttempts: this.#open.size,
      mayHaveRun: this.#mayHaveRun || this.#open.size > 0,
      build: this.#origin?.build,
      stageHandler: this.#stageHandler,
    });
    this.#conclusion = new Conclusion(
      admitted,
      this.#response,
      history,
      deps,
    );
  }

  /**
   * Resolves when the final response was sent or the caller has disconnected.
   */
  async run(): Promise<void> {
    const timer = setTimeout(
      () => this.#conclusion.timedOut(),
      Math.max(0, this.#deadlineAt - monotonicMs()),
    );
    const stopped = this.#deps.stop.ended;
    const onStopped = () => this.#conclusion.stopped();
    stopped.addEventListener("abort", onStopped);
    this.#conclusion.signal.addEventListener("abort", () => {
      clearTimeout(timer);
      stopped.removeEventListener("abort", onStopped);
      this.#handover?.cancel();
      this.#open.forEach((relay) => relay.abort());
    });
    this.#response.gone.addEventListener(
      "abort",
      () => this.#conclusion.callerGone(),
      { once: true },
    );
    if (stopped.aborted) return onStopped();
    this.#deps.tracker.request(this.#admitted.pool.name);
    this.#current = await this.#startNext();
    while (this.#current) {
      const end = await this.#current.ended;
      this.#current = await this.#next(end);
    }
  }

  /** Returns the attempt that follows one that has ended, if any does. */
  async #next(end: AttemptEnd): Promise<RunningAttempt | undefined> {
    const handover = this.#handover;
    this.#handover = undefined;
    if (this.#conclusion.isOver) return undefined;
    const taken = await handover?.adopt();
    if (taken) return taken;
    return this.#shouldRetry(end) ? await this.#startNext() : undefined;
  }

  /** Sends the request to a target; ends the exchange when that can't be. */
  async #startNext(): Promise<RunningAttempt | undefined> {
    const prepared = await this.#prepare(this.#conclusion.signal);
    if (prepared.isErr()) {
      const { reason, retryAfterMs } = prepared.error;
      this.#conclusion.abandon(reason, retryAfterMs);
      return undefined;
    }
    const isTooLate = this.#isTooLateToSend;
    if (!this.#conclusion.isOver && !isTooLate) {
      return this.#start(prepared.value, () => {});
    }
    discardAttempt(prepared.value);
    if (isTooLate) this.#conclusion.stopped();
    return undefined;
  }

  /**
   * True when this process is likely to stop before a target has responded. A
   * stream that has begun goes on as long as it can.
   */
  get #isTooLateToSend(): boolean {
    const { responseTimes, stop } = this.#deps;
    const neededMs = Math.min(
      responseTimes.attemptMs(this.#admitted.route),
      this.#deadlineAt - monotonicMs(),
    );
    return !this.#response.hasBegun && neededMs > stop.remainingMs;
  }

  async #prepare(
    signal: AbortSignal,
  ): Promise<Result<PreparedAttempt, Unprepared>> {
    const choice = { exclude: this.#tried, sameBuildAs: this.#origin };
    const prepared = await this.#preparer.prepare(choice, signal);
    this.#stageHandler = prepared.match(
      ({ inputs }) => inputs.handler,
      ({ stageHandler }) => stageHandler,
    );
    return prepared;
  }

  /**
   * Looks for another target while one is silent. The silent one may go on, and
   * no other may be able to serve the request, so the call to it ends only when
   * another target has taken the request.
   */
  #replaceSilent(relay: Relay, target: string, silentMs: number): void {
    if (this.#conclusion.isOver || relay !== this.#current?.relay) return;
    this.#log("target_silent", { target, silentMs });
    const mayReplace = this.#isRepeatable &&
      this.#attempts + 1 < this.#admitted.route.maxAttempts;
    if (this.#handover || !mayReplace || !this.#spendRetry()) return;
    const { signal } = this.#conclusion;
    this.#handover = new Handover({
      prepare: (cancelled) =>
        this.#prepare(AbortSignal.any([cancelled, signal])),
      start: (attempt, onAccepted) => this.#start(attempt, onAccepted),
      onTaken: () => relay.giveUp(`silent for ${silentMs} ms`),
      onFailed: (reason) => {
        this.#handover = undefined;
        this.#log("handover_failed", { reason });
      },
    });
  }

  #cancelHandover(relay: Relay): void {
    if (relay !== this.#current?.relay) return;
    this.#handover?.cancel();
    this.#handover = undefined;
  }

  /** Sends the request to one target. */
  #start(
    { inputs, reservation }: PreparedAttempt,
    onAccepted: () => void,
  ): RunningAttempt {
    const { req, route, pool, organisation, content, catalog } = this.#admitted;
    const remainingMs = Math.floor(this.#deadlineAt - monotonicMs());
    const { target } = reservation;
    const sentAt = monotonicMs();
    this.#log("sent", {
      target: target.id,
      build: target.build,
      attempt: this.#attempts + 1,
      remainingMs,
      tried: this.#tried.size,
      ...placementFields(reservation.timed),
    });
    this.#tried.add(target.id);
    const { promise, resolve } = withResolvers<AttemptEnd>();
    const relay: Relay = new Relay({
      admitted: this.#admitted,
      response: this.#response,
      reservation,
      watch: this.#deps.crashes.watch(target, content),
      inputs,
      heldBytes: this.#deps.heldBytes,
      usualMs: this.#deps.firstByteTimes.of(route.name),
      isResumed: this.#response.hasBegun,
      lastEventId: route.isResumable ? this.#lastEventId : undefined,
      expectsEvent: () => this.#expectsEvent,
      isOver: () => this.#conclusion.isOver,
      onAccepted,
      onEvent: (id) => {
        this.#recordOrigin(target);
        reservation.progressed();
        this.#lastEventId = id ?? this.#lastEventId;
        this.#expectsEvent = false;
      },
      onSilent: (ms) => this.#replaceSilent(relay, target.id, ms),
      onProgress: () => this.#cancelHandover(relay),
      onFirstBytes: (ms) => this.#deps.firstByteTimes.observe(route.name, ms),
      onEnd: (end) => {
        inputs.release();
        this.#open.delete(relay);
        this.#expectsEvent ||= relay.isInsideEvent;
        if (end.kind === "over" && !this.#conclusion.isOver) {
          const now = monotonicMs();
          this.#deps.responseTimes.observe(route, {
            totalMs: now - this.#startedAt,
            attemptMs: now - sentAt,
          });
        }
        this.#recordAttempt(target.id, end, relay.writingMs);
        resolve(end);
      },
    });
    this.#open.add(relay);
    this.#expectOrigin(target);
    relay.attach(this.#deps.client.send({
      target,
      req,
      remainingMs,
      organisation: organisation?.name,
      urgency: catalog.priorityClassOf({ pool, route, organisation }),
      inputs: route.stages.length > 0 ? inputs.results : undefined,
      lastEventId: this.#lastEventId,
      maxConnections: reservation.maxConnections,
    }, relay));
    return { relay, ended: promise };
  }

  /**
   * Tells which build is likely to begin the stream: the store can record it
   * while the target works on the first event.
   */
  #expectOrigin({ build }: BuildHolder): void {
    const { req, route, origin } = this.#admitted;
    if (!route.isResumable || origin || this.#hasEvents) return;
    this.#deps.origins.expect(this.#beginningAt(build, req));
  }

  /**
   * Remembers which build the stream keeps to, at its first event here. The
   * caller sees the event once the origin is recorded.
   */
  #recordOrigin({ build }: BuildHolder): void {
    if (this.#hasEvents) return;
    this.#hasEvents = true;
    this.#origin ??= { build };
    const { req, route } = this.#admitted;
    if (!route.isResumable) return;
    const recorded = this.#deps.origins.begun(this.#beginningAt(build, req));
    // The origin of a stream that was taken up is known already.
    if (recorded && !this.#admitted.origin) this.#response.hold(recorded);
  }

  #beginningAt(
    build: string | undefined,
    req: Admitted["req"],
  ): BeginningStream {
    const { route: { hostname, pathPrefix }, pool } = this.#admitted;
    return {
      stream: streamOf(req),
      route: { hostname, pathPrefix },
      origin: { pool: pool.name, build },
    };
  }

  #recordAttempt(
    target: string,
    end: AttemptEnd,
    writingMs: number | undefined,
  ): void {
    if (end.kind === "over") {
      this.#attempts += 1;
      if (!this.#conclusion.isOver) {
        this.#conclusion.answered(target, end.status);
      }
      return;
    }
    const isAttempt = end.kind !== "unsent" &&
      !(end.kind === "not-run" && !end.isAttempt);
    if (isAttempt) this.#attempts += 1;
    else this.#unsentAttempts += 1;
    if (end.kind !== "unsent" && end.kind !== "not-run") {
      this.#mayHaveRun = true;
    }
    this.#log("attempt_failed", {
      target,
      outcome: end.kind,
      detail: "detail" in end ? end.detail : undefined,
      status: statusOf(end),
      fingerprint: this.#admitted.content.fingerprint,
      segments: this.#admitted.req.promptParts.slice(0, LOGGED_SEGMENTS)
        .join(",") || undefined,
      writingMs: writingMs === undefined ? undefined : Math.round(writingMs),
    });
  }

  /**
   * Decides whether to retry after an attempt; otherwise sends the final
   * response.
   */
  #shouldRetry(end: AttemptEnd): boolean {
    if (this.#conclusion.isOver || end.kind === "over") return false;
    if (end.kind === "unsent") return this.#mayRetryUnsent(end.detail);
    if (end.kind === "not-run" && !end.isAttempt) {
      return this.#mayRetryUnsent("other target at the address");
    }
    const mayRetry = end.kind === "not-run" || this.#isRepeatable;
    const hasAttemptLeft = this.#attempts < this.#admitted.route.maxAttempts;
    if (mayRetry && hasAttemptLeft && this.#spendRetry()) return true;
    this.#conclusion.failed(end, this.#preparer.reopensInMs(this.#origin));
    return false;
  }

  #mayRetryUnsent(detail: string): boolean {
    if (this.#unsentAttempts < MAX_UNSENT_ATTEMPTS) return true;
    this.#conclusion.abandon(
      detail,
      this.#preparer.reopensInMs(this.#origin) ?? NO_TARGET_RETRY_AFTER_MS,
    );
    return false;
  }

  /** True when the request may be sent again after it may have run. */
  get #isRepeatable(): boolean {
    const { route } = this.#admitted;
    if (route.kind === RouteKind.Stream) return route.isResumable;
    return route.kind === RouteKind.Idempotent && !this.#response.hasBegun;
  }

  #spendRetry(): boolean {
    return this.#deps.tracker.spendRetry(this.#admitted.pool.name);
  }

  #log(
    event: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.#deps.log.info(event, { request: this.#admitted.req.id, ...fields });
  }
}

/** Figures that decided the choice of a target, for the log. */
function placementFields(
  timed: TimedCandidate | undefined,
): Record<string, number | undefined> {
  if (!timed) return {};
  const { expected, capacity } = timed;
  return {
    expectedMs: Math.round(expected.expectedMs),
    waitMs: Math.round(expected.waitMs),
    queueMs: Math.round(expected.queueMs),
    serviceMs: Math.round(expected.serviceMs),
    cachedTokens: Math.round(expected.cachedTokens) || undefined,
    unreadTokens: Math.round(expected.unreadTokens) || undefined,
    pace: round2(capacity.pace.usual),
    slowdown: round2(capacity.pace.slowdown),
    reportAgeMs: capacity.report && Math.round(capacity.report.ageMs),
  };
}

function round2(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Status of the response that ended an attempt, if one did. */
function statusOf(end: AttemptEnd): number | undefined {
  if (end.kind === "error-answer") return end.head.status;
  return "status" in end ? end.status : undefined;
}

/** Returns a promise with the function that resolves it. */
function withResolvers<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>((settle) => resolve = settle);
  return { promise, resolve };
}
