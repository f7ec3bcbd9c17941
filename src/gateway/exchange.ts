/**
 * One request from its arrival to its final answer.
 *
 * @module
 */

import { monotonicMs, Watchdog } from "../kernel/mod.ts";
import {
  type Catalog,
  EventSplitter,
  type Organisation,
  type Pool,
  type Route,
  RouteKind,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { OwnTimes } from "./own_times.ts";
import {
  type AnswerHead,
  type CallerAnswer,
  type CallerRequest,
  type CallFailure,
  type Refusal,
  RefusalKind,
  type RunningCall,
  type TargetClient,
} from "./ports.ts";
import type { ChainClient, StagedInputs } from "./chain_client.ts";
import type { Reservation, TargetBook } from "./target_book.ts";

/** What a request was admitted for. */
export interface Admitted {
  readonly req: CallerRequest;
  readonly catalog: Catalog;
  readonly route: Route;
  readonly pool: Pool;
  readonly organisation?: Organisation;
  readonly priority: number;
}

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
/** Multiple of the longest pause after which a stream counts as silent. */
const SILENT_PAUSES = 2;
/** Multiple of the usual time after which a target without answer is overdue. */
const OVERDUE_RATIO = 3;
/** Shortest time after which a target is overdue, in milliseconds. */
const MIN_OVERDUE_MS = 800;
/** When callers may come back if no target is open, in milliseconds. */
const NO_TARGET_RETRY_MS = 300;
/** When callers may come back after a target refused, in milliseconds. */
const TARGET_FULL_RETRY_MS = 200;
/** Bounds of the time after which callers that met a queue come back, in ms. */
const MIN_QUEUE_RETRY_MS = 1_500;
const MAX_QUEUE_RETRY_MS = 4_000;
/** Share by which that time differs between callers. */
const RETRY_JITTER = 0.25;
/** Shortest time that is worth sending a request for, in milliseconds. */
const MIN_SEND_MS = 20;

/** How one attempt at a target ended. */
type AttemptEnd =
  /** The answer was passed on whole, or the exchange is over. */
  | { readonly kind: "over" }
  /** No byte reached the target. */
  | { readonly kind: "unsent"; readonly detail: string }
  /** The target says that it has not run the request. */
  | { readonly kind: "not-run"; readonly counts: boolean }
  /** A complete answer that tells of a failure. */
  | {
    readonly kind: "error-answer";
    readonly head: AnswerHead;
    readonly body: Buffer;
  }
  | { readonly kind: "broken"; readonly detail: string };

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
    const { req, route, pool, catalog, priority } = this.#admitted;
    const affinity = affinityOf(req);
    const ownMs = this.#deps.ownTimes.of(route.name);
    if (route.stages.length === 0) return { results: [], free: () => {} };
    const outcome = await this.#deps.chains.run({
      req,
      route,
      catalog,
      priority,
      dueAt: req.receivedAt + route.latencyGoalMs - ownMs,
      expiresAt: this.#deadlineAt - ownMs,
      resultDomain: affinity === undefined
        ? undefined
        : this.#deps.book.preferredDomain(pool, affinity),
      signal: this.#over.signal,
    });
    if (outcome.isOk()) return outcome.value;
    const { reason, waitMs } = outcome.error;
    this.#giveUp(reason, queueRetryMs(waitMs));
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
 * When callers may come back that met a long queue, in milliseconds. A burst
 * lasts for seconds; callers that come back within it are refused again, and
 * all that come back at once would be the next burst.
 */
function queueRetryMs(waitMs: number): number {
  const ms = Math.min(MAX_QUEUE_RETRY_MS, MIN_QUEUE_RETRY_MS + 2 * waitMs);
  return Math.round(ms * (1 + RETRY_JITTER * (2 * Math.random() - 1)));
}

/** Name of the shared part of the prompt that is the most specific one. */
function affinityOf({ promptParts }: CallerRequest): string | undefined {
  return promptParts.at(-2) ?? promptParts.at(-1);
}

interface RelayDeps {
  readonly admitted: Admitted;
  readonly answer: CallerAnswer;
  readonly reservation: Reservation;
  readonly inputs: StagedInputs;
  /** Usual time until the first bytes of an answer, in milliseconds. */
  readonly usualMs: number;
  /** True when the answer goes on behind events of another target. */
  readonly isResumed: boolean;
  /** True once the exchange has ended for another reason. */
  isOver(): boolean;
  onEvent(lastId: string | undefined): void;
  /** The first bytes of an answer came after `ms` milliseconds. */
  onFirst(ms: number): void;
  onEnd(end: AttemptEnd): void;
}

/** Passes one target's answer on to the caller. */
class Relay {
  readonly #deps: RelayDeps;
  readonly #startedAt = monotonicMs();
  readonly #events = new EventSplitter();
  readonly #chunks: Buffer[] = [];
  #call: RunningCall | undefined;
  #head: AnswerHead | undefined;
  #isStream = false;
  #hasFirst = false;
  #isEnded = false;
  #verdict: AttemptEnd | undefined;
  #silence: Watchdog | undefined;
  #overdue: NodeJS.Timeout | undefined;

  constructor(deps: RelayDeps) {
    this.#deps = deps;
  }

  attach(call: RunningCall): void {
    if (this.#isEnded) return;
    this.#call = call;
    const { route } = this.#deps.admitted;
    const overdueMs = Math.max(
      MIN_OVERDUE_MS,
      OVERDUE_RATIO * this.#deps.usualMs,
    );
    if (route.kind === RouteKind.Idempotent && route.maxAttempts > 1) {
      this.#watch(route.latencyGoalMs);
    } else if (route.kind === RouteKind.Stream && route.isResumable) {
      this.#watch(overdueMs);
    } else {
      this.#overdue = setTimeout(
        () => this.#deps.reservation.overdue(),
        overdueMs,
      );
    }
  }

  head(head: AnswerHead): void {
    clearTimeout(this.#overdue);
    this.#deps.reservation.head(head);
    const isSuccess = head.status >= 200 && head.status < 300;
    if (head.isOtherTarget) {
      return this.#stop({ kind: "not-run", counts: false });
    }
    if (head.isNotRun) return this.#stop({ kind: "not-run", counts: true });
    if (!head.isOwn) return this.#break("answer to another request");
    if (isSuccess && !head.isSigned) {
      return this.#break("answer without signature");
    }
    this.#head = head;
    const { route } = this.#deps.admitted;
    this.#isStream = isSuccess && route.kind === RouteKind.Stream;
    if (this.#deps.isResumed && !this.#isStream) {
      return this.#break(`status ${head.status} for a resumed stream`);
    }
    if (!this.#isStream) return;
    if (!this.#deps.isResumed) this.#deps.answer.begin(head);
    if (route.isResumable && route.maxPauseMs !== undefined) {
      this.#watch(route.maxPauseMs * SILENT_PAUSES);
    }
  }

  data(bytes: Buffer): boolean {
    if (this.#verdict) return true;
    this.#first();
    if (!this.#isStream) {
      this.#chunks.push(bytes);
      return true;
    }
    this.#silence?.heard();
    const whole = this.#events.push(bytes);
    if (!whole) return true;
    this.#deps.onEvent(whole.lastId);
    return this.#deps.answer.write(whole.bytes, () => this.#call?.resume());
  }

  ended(): void {
    if (this.#verdict) return this.#end(this.#verdict);
    if (this.#isStream) return this.#streamEnded();
    const head = this.#head;
    if (!head) return this.#end({ kind: "broken", detail: "no answer" });
    const body = Buffer.concat(this.#chunks);
    if (head.status >= 500) {
      return this.#end({ kind: "error-answer", head, body });
    }
    this.#deps.answer.begin(head);
    if (body.length > 0) this.#deps.answer.write(body, () => {});
    this.#deps.answer.end();
    this.#end({ kind: "over" });
  }

  failed({ mayHaveRun, detail }: CallFailure): void {
    if (this.#verdict) return this.#end(this.#verdict);
    if (this.#deps.isOver()) return this.#dropped();
    if (!mayHaveRun) return this.#end({ kind: "unsent", detail });
    this.#end({ kind: "broken", detail });
  }

  #streamEnded(): void {
    if (this.#events.rest.length > 0) {
      return this.#end({ kind: "broken", detail: "ends inside an event" });
    }
    this.#deps.answer.end();
    this.#end({ kind: "over" });
  }

  #first(): void {
    if (this.#hasFirst) return;
    this.#hasFirst = true;
    this.#deps.inputs.free();
    this.#deps.onFirst(monotonicMs() - this.#startedAt);
  }

  #watch(ms: number): void {
    this.#silence?.end();
    const silence = new Watchdog(ms);
    this.#silence = silence;
    silence.signal.addEventListener("abort", () => {
      if (silence.isExpired) this.#break(`silent for ${ms} ms`);
    });
  }

  #break(detail: string): void {
    this.#stop({ kind: "broken", detail });
  }

  /** Decides the end, and breaks off what still comes. */
  #stop(verdict: AttemptEnd): void {
    if (this.#verdict || this.#isEnded) return;
    this.#verdict = verdict;
    if (verdict.kind === "broken") {
      this.#call?.abort(verdict.detail);
      this.#end(verdict);
    }
  }

  /** The call was broken off by this process, not by its target's fault. */
  #dropped(): void {
    this.#deps.reservation.dropped();
    this.#end({ kind: "over" });
  }

  #end(end: AttemptEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearTimeout(this.#overdue);
    this.#silence?.end();
    const { reservation } = this.#deps;
    const serviceMs = monotonicMs() - this.#startedAt;
    if (end.kind === "over") reservation.done(serviceMs);
    else if (end.kind === "not-run") reservation.dropped();
    else reservation.failed();
    this.#deps.onEnd(end);
  }
}
