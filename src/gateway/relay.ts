/**
 * Passes one target's answer on to the caller of a request.
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
import type { StagedInputs } from "./chain_client.ts";
import type {
  AnswerHead,
  CallerAnswer,
  CallerRequest,
  CallFailure,
  RunningCall,
} from "./ports.ts";
import type { Reservation } from "./target_book.ts";

/** What a request was admitted for. */
export interface Admitted {
  readonly req: CallerRequest;
  readonly catalog: Catalog;
  readonly route: Route;
  readonly pool: Pool;
  readonly organisation?: Organisation;
  readonly priority: number;
  /** Time since its caller first sent it, in milliseconds; 0 if unknown. */
  readonly ageMs: number;
  /** Share of its route's requests that are smaller. */
  readonly sizeRank: number;
}

/** How one attempt at a target ended. */
export type AttemptEnd =
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

/** Multiple of the longest pause after which a stream counts as silent. */
const SILENT_PAUSES = 2;
/** Multiple of the usual time after which a target without answer is overdue. */
const OVERDUE_RATIO = 3;
/** Shortest time after which a target is overdue, in milliseconds. */
const MIN_OVERDUE_MS = 800;

/** What a relay works with. */
export interface RelayDeps {
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

/** Listens to one call and passes its answer on. */
export class Relay {
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
