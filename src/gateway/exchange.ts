/**
 * One request from its arrival to its final answer.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { RouteKind } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { ChainClient, StagedInputs } from "./chain_client.ts";
import type { OwnTimes } from "./own_times.ts";
import {
  type CallerAnswer,
  type CallerRequest,
  type Refusal,
  RefusalKind,
  type RunningCall,
  type TargetClient,
} from "./ports.ts";
import { type Admitted, type AttemptEnd, Relay } from "./relay.ts";
import type { TargetBook } from "./target_book.ts";

/** Services that exchanges use. */
export interface ExchangeDeps {
  readonly book: TargetBook;
  readonly chains: ChainClient;
  readonly client: TargetClient;
  readonly ownTimes: OwnTimes;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Connections that may fail to open before a request is refused. */
const MAX_UNSENT_TRIES = 3;
/** When callers may come back if no target is open, in milliseconds. */
const NO_TARGET_RETRY_MS = 300;
/** When callers may come back after a target refused, in milliseconds. */
const TARGET_FULL_RETRY_MS = 200;
/** Share of the time they have left that callers wait at most before a retry. */
const MAX_RETRY_SHARE = 1 / 3;
/** Longest time after which callers that met a queue come back, in ms. */
const MAX_QUEUE_RETRY_MS = 6_000;
/** Share by which that time differs between callers. */
const RETRY_JITTER = 0.3;
/** Shortest time that is worth sending a request for, in milliseconds. */
const MIN_SEND_MS = 20;

/** Serves one request. */
export class Exchange {
  readonly #admitted: Admitted;
  readonly #answer: CallerAnswer;
  readonly #deps: ExchangeDeps;
  readonly #deadlineAt: number;
  readonly #over = new AbortController();
  readonly #tried = new Set<string>();
  #sent = 0;
  #unsent = 0;
  /** True once a target may have begun to work on the request. */
  #mayHaveRun = false;
  #call: RunningCall | undefined;
  #lastEventId: string | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(admitted: Admitted, answer: CallerAnswer, deps: ExchangeDeps) {
    const { req, route } = admitted;
    this.#admitted = admitted;
    this.#answer = answer;
    this.#deps = deps;
    this.#lastEventId = req.lastEventId;
    this.#deadlineAt = req.receivedAt +
      Math.min(route.timeoutMs, req.deadlineMs ?? route.timeoutMs);
  }

  /** Resolves when the request has its final answer or its caller has gone. */
  async run(): Promise<void> {
    this.#timer = setTimeout(
      () => this.#timeUp(),
      Math.max(0, this.#deadlineAt - monotonicMs()),
    );
    this.#answer.gone.addEventListener("abort", () => this.#callerGone(), {
      once: true,
    });
    this.#deps.book.request(this.#admitted.pool.name);
    while (!this.#over.signal.aborted) {
      const inputs = await this.#stages();
      if (inputs === undefined) return;
      const end = await this.#attempt(inputs);
      inputs.free();
      if (!this.#isWorthRepeating(end)) return;
    }
  }

  /** Runs the stages; undefined when the exchange is over. */
  async #stages(): Promise<StagedInputs | undefined> {
    const { req, route, pool, catalog, priority, ageMs, sizeRank } =
      this.#admitted;
    const affinity = affinityOf(req);
    const ownMs = this.#deps.ownTimes.of(route.name);
    if (route.stages.length === 0) return { results: [], free: () => {} };
    const outcome = await this.#deps.chains.run({
      req,
      route,
      catalog,
      priority,
      dueAt: req.receivedAt - ageMs + route.latencyGoalMs - ownMs,
      expiresAt: this.#deadlineAt - ownMs,
      sizeRank,
      resultDomain: affinity === undefined
        ? undefined
        : this.#deps.book.preferredDomain(pool, affinity),
      signal: this.#over.signal,
    });
    if (outcome.isOk()) return outcome.value;
    const leftMs = this.#deadlineAt - monotonicMs();
    this.#giveUp(outcome.error.reason, queueRetryMs(leftMs));
    return undefined;
  }

  /** Sends the request to one target. */
  #attempt(inputs: StagedInputs): Promise<AttemptEnd> {
    const { req, route, pool, organisation } = this.#admitted;
    if (this.#over.signal.aborted) return Promise.resolve({ kind: "over" });
    const remainingMs = Math.floor(this.#deadlineAt - monotonicMs());
    if (remainingMs < MIN_SEND_MS) {
      this.#giveUp("its time has passed", 0);
      return Promise.resolve({ kind: "over" });
    }
    const reservation = this.#deps.book.reserve(pool, {
      affinity: affinityOf(req),
      exclude: this.#tried,
    });
    if (!reservation) {
      this.#giveUp("no target is open", NO_TARGET_RETRY_MS);
      return Promise.resolve({ kind: "over" });
    }
    const { target } = reservation;
    this.#log("sent", {
      target: target.id,
      attempt: this.#sent + 1,
      remainingMs,
      tried: this.#tried.size,
    });
    return new Promise((resolve) => {
      const relay = new Relay({
        admitted: this.#admitted,
        answer: this.#answer,
        reservation,
        inputs,
        usualMs: this.#deps.ownTimes.of(route.name),
        isResumed: this.#answer.hasBegun,
        isOver: () => this.#over.signal.aborted,
        onEvent: (id) => this.#lastEventId = id ?? this.#lastEventId,
        onFirst: (ms) => this.#deps.ownTimes.add(route.name, ms),
        onEnd: (end) => {
          this.#attemptEnded(target.id, end);
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

  #attemptEnded(target: string, end: AttemptEnd): void {
    this.#call = undefined;
    this.#tried.add(target);
    const counts = end.kind !== "unsent" &&
      !(end.kind === "not-run" && !end.counts);
    if (counts) this.#sent += 1;
    else this.#unsent += 1;
    if (end.kind === "broken" || end.kind === "error-answer") {
      this.#mayHaveRun = true;
    }
    if (end.kind === "over") {
      if (!this.#over.signal.aborted) this.#finish("answered", { target });
      return;
    }
    this.#log("attempt_failed", {
      target,
      outcome: end.kind,
      detail: "detail" in end ? end.detail : undefined,
      status: end.kind === "error-answer" ? end.head.status : undefined,
    });
  }

  /** Decides what follows an attempt; false when the exchange is over. */
  #isWorthRepeating(end: AttemptEnd): boolean {
    if (this.#over.signal.aborted || end.kind === "over") return false;
    const { route, pool } = this.#admitted;
    if (end.kind === "unsent") return this.#tryUnsentAgain(end.detail);
    if (end.kind === "not-run" && !end.counts) {
      return this.#tryUnsentAgain("other target at the address");
    }
    const mayRepeat = end.kind === "not-run" ||
      route.kind === RouteKind.Idempotent ||
      (route.kind === RouteKind.Stream && route.isResumable);
    const isLeft = this.#sent < route.maxAttempts;
    if (mayRepeat && isLeft && this.#deps.book.spendRepeat(pool.name)) {
      return true;
    }
    this.#settle(end);
    return false;
  }

  #tryUnsentAgain(detail: string): boolean {
    if (this.#unsent < MAX_UNSENT_TRIES) return true;
    if (this.#answer.hasBegun) this.#cut(detail);
    else this.#giveUp(detail, NO_TARGET_RETRY_MS);
    return false;
  }

  /** Final answer after the last attempt failed. */
  #settle(end: AttemptEnd): void {
    if (this.#answer.hasBegun) return this.#cut(end.kind);
    if (end.kind === "not-run") {
      return this.#giveUp("the target refused", TARGET_FULL_RETRY_MS);
    }
    if (end.kind === "error-answer") {
      this.#answer.begin(end.head);
      this.#answer.write(end.body, () => {});
      this.#answer.end();
      return this.#finish("error-answer", { status: end.head.status });
    }
    const reason = "detail" in end ? end.detail : end.kind;
    this.#refuse({ kind: RefusalKind.Unknown, reason });
  }

  /** Refuses a request that has not run and never will. */
  #giveUp(reason: string, retryAfterMs: number): void {
    if (this.#over.signal.aborted) return;
    if (this.#answer.hasBegun) return this.#cut(reason);
    if (this.#mayHaveRun) {
      return this.#refuse({ kind: RefusalKind.Unknown, reason });
    }
    this.#refuse({ kind: RefusalKind.NotRun, reason, retryAfterMs });
  }

  #refuse(refusal: Refusal): void {
    if (this.#over.signal.aborted) return;
    this.#answer.refuse(refusal);
    this.#finish(refusal.kind, {
      reason: refusal.reason,
      retryAfterMs: refusal.retryAfterMs,
    });
  }

  #cut(reason: string): void {
    this.#answer.cut();
    this.#finish("cut", { reason });
  }

  #timeUp(): void {
    if (this.#over.signal.aborted) return;
    if (this.#answer.hasBegun) return this.#cut("its time has passed");
    const isSent = this.#call !== undefined || this.#mayHaveRun;
    this.#refuse({
      kind: isSent ? RefusalKind.TimedOut : RefusalKind.NotRun,
      reason: "its time has passed",
    });
  }

  #callerGone(): void {
    if (this.#over.signal.aborted) return;
    this.#finish("caller-gone", {});
  }

  #finish(
    outcome: string,
    fields: Record<string, string | number | undefined>,
  ) {
    clearTimeout(this.#timer);
    this.#over.abort();
    this.#call?.abort(outcome);
    const { route } = this.#admitted;
    const tookMs = monotonicMs() - this.#admitted.req.receivedAt;
    this.#deps.metrics.count("requests_total", { route: route.name, outcome });
    this.#deps.metrics.durations("request", { outcome }).record(tookMs);
    this.#log("request_ended", {
      outcome,
      tookMs: Math.round(tookMs),
      attempts: this.#sent,
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
 * When a caller may come back that met a long queue, in milliseconds. It comes
 * back too late for its goal in any case, and may do so once: a burst lasts
 * for seconds, so the best time is the latest one. Callers that all come back
 * at once would be the next burst.
 */
function queueRetryMs(leftMs: number): number {
  const ms = Math.min(MAX_QUEUE_RETRY_MS, leftMs * MAX_RETRY_SHARE);
  return Math.round(ms * (1 - RETRY_JITTER * Math.random()));
}

/** Name of the shared part of the prompt that is the most specific one. */
function affinityOf({ promptParts }: CallerRequest): string | undefined {
  return promptParts.at(-2) ?? promptParts.at(-1);
}
