/**
 * Forwards the response of one target to the caller of a request.
 *
 * @module
 */

import type { CallWatch, PromptPermit } from "../crashes/mod.ts";
import { monotonicMs, Watchdog } from "../kernel/mod.ts";
import type { RequestContent } from "../quarantine/mod.ts";
import {
  type BuildHolder,
  type Catalog,
  EventSplitter,
  type Organisation,
  type Pool,
  type Route,
  RouteKind,
  type WholeEvents,
} from "../serving/mod.ts";
import {
  AnswerBody,
  BodyStep,
  type HeldBytes,
  HeldShare,
} from "./answer_body.ts";
import type { CatalogStanding } from "./catalog_trace.ts";
import type { StagedInputs } from "./chain_client.ts";
import {
  type CallerRequest,
  type CallerResponse,
  type CallFailure,
  type ResponseHead,
  type RunningCall,
  RunReport,
} from "./ports.ts";
import type { Reservation } from "./target_tracker.ts";
import type { WrittenEvents } from "./work_at_targets.ts";

/** An admitted request and what its admission resolved. */
export interface Admitted {
  readonly req: CallerRequest;
  readonly catalog: Catalog;
  /** How that catalog was known when it decided the request. */
  readonly standing: CatalogStanding;
  readonly route: Route;
  readonly pool: Pool;
  readonly organisation?: Organisation;
  readonly priority: number;
  /**
   * Time since the caller first sent the request, in milliseconds; 0 if
   * unknown.
   */
  readonly ageMs: number;
  /** Share of the requests of the route that are smaller. */
  readonly sizeRank: number;
  /** Build that began the stream which the request takes up. */
  readonly origin?: BuildHolder;
  /** What targets work on, by which their crashes are explained. */
  readonly content: RequestContent;
  /** Permit to send the request to targets. */
  readonly permit: PromptPermit;
}

/** How one attempt at a target ended. */
export type AttemptEnd =
  /** The response was forwarded completely, or the exchange has ended. */
  | { readonly kind: "over"; readonly status?: number }
  /** No byte reached the target. */
  | { readonly kind: "unsent"; readonly detail: string }
  /**
   * The target reports that it has not run the request; `isAttempt` is false
   * when another target now serves the address.
   */
  | {
    readonly kind: "not-run";
    readonly isAttempt: boolean;
    readonly status: number;
  }
  /** A refusal without the statement that the request was not run. */
  | {
    readonly kind: "unconfirmed";
    readonly status: number;
    readonly detail: string;
  }
  /** A complete response that reports a failure. */
  | {
    readonly kind: "error-answer";
    readonly head: ResponseHead;
    readonly body: Buffer;
  }
  /** This process no longer needs the attempt. */
  | { readonly kind: "cancelled" }
  /** The call failed or was aborted, and the request may have run. */
  | { readonly kind: "broken"; readonly detail: string };

/**
 * Multiple of the longest on-time pause after which a stream counts as silent.
 */
const SILENCE_RATIO = 4;
/**
 * Shortest time after which a stream counts as silent, in milliseconds: sound
 * targets may pause for a second or more.
 */
const MIN_SILENCE_MS = 2_000;
/** Multiple of the usual time after which a response is overdue. */
const OVERDUE_RATIO = 3;
/** Shortest time after which a response is overdue, in milliseconds. */
const MIN_OVERDUE_MS = 800;

const HTTP_OK = 200;
/** Bytes read of a refusal's body before its call is aborted. */
const MAX_REFUSAL_BYTES = 64 * 1024;

interface NumberedEvent {
  readonly number: number;
  readonly at: number;
}

/** Dependencies of a relay. */
export interface RelayDeps {
  readonly admitted: Admitted;
  readonly response: CallerResponse;
  readonly reservation: Reservation;
  readonly watch: CallWatch;
  readonly inputs: StagedInputs;
  readonly heldBytes: HeldBytes;
  /** Usual time until the first bytes of a response, in milliseconds. */
  readonly usualMs: number;
  /** True when the response continues that of another target. */
  readonly isResumed: boolean;
  /** Last event of the stream that the caller has; undefined without any. */
  readonly lastEventId?: string;
  /** True while a further event of the stream is known to exist. */
  expectsEvent(): boolean;
  /** True once the exchange has ended for another reason. */
  isOver(): boolean;
  /** Called before a usable response is forwarded or collected. */
  onAccepted(): void;
  onEvent(lastId: string | undefined): void;
  /** Called each time that the target has been silent for `ms`. */
  onSilent(ms: number): void;
  /** Called when the target goes on with a usable response after a silence. */
  onProgress(): void;
  /** Called with the time until the first bytes of a response. */
  onFirstBytes(ms: number): void;
  onEnd(end: AttemptEnd): void;
}

/** Listens to one call and forwards its response. */
export class Relay {
  readonly #deps: RelayDeps;
  readonly #startedAt = monotonicMs();
  readonly #splitter: EventSplitter;
  readonly #held: HeldShare;
  readonly #body: AnswerBody;
  #refusalBytes = 0;
  #call: RunningCall | undefined;
  #head: ResponseHead | undefined;
  #isStream = false;
  #hasFirstBytes = false;
  #isEnded = false;
  #outcome: AttemptEnd | undefined;
  #watchdog: Watchdog | undefined;
  #isSilent = false;
  #isGivenUp = false;
  /** Monotonic time of the first event of the response. */
  #firstEventAt: number | undefined;
  /** First and last event with a numeric identifier, with their times. */
  #firstNumbered: NumberedEvent | undefined;
  #lastNumbered: NumberedEvent | undefined;

  constructor(deps: RelayDeps) {
    this.#deps = deps;
    this.#splitter = new EventSplitter(deps.lastEventId);
    this.#held = new HeldShare(deps.heldBytes);
    this.#body = new AnswerBody(this.#held);
  }

  attach(call: RunningCall): void {
    if (this.#isEnded) return;
    this.#call = call;
    this.#expectProgress(this.#overdueMs);
  }

  /** Ends the call to a silent target: another one has taken the request. */
  giveUp(detail: string): void {
    this.#isGivenUp = true;
    this.#breakOff(detail);
  }

  /** Ends a call that is no longer needed. */
  cancel(): void {
    this.#stop({ kind: "cancelled" });
  }

  /** Aborts the call, since the exchange has ended. */
  abort(): void {
    this.#call?.abort("the request has ended");
  }

  /**
   * Time since the first event of the response, in milliseconds; undefined
   * before it.
   */
  get writingMs(): number | undefined {
    return this.#firstEventAt === undefined
      ? undefined
      : monotonicMs() - this.#firstEventAt;
  }

  /** Events after the first one; undefined if they are not numbered. */
  get #writtenEvents(): WrittenEvents | undefined {
    const [first, last] = [this.#firstNumbered, this.#lastNumbered];
    return first && last && {
      count: last.number - first.number,
      ms: last.at - first.at,
    };
  }

  /** True when the response has ended inside an event. */
  get isInsideEvent(): boolean {
    return this.#isStream && this.#splitter.rest.length > 0;
  }

  /** Time after which the head of the response is overdue, in milliseconds. */
  get #overdueMs(): number {
    const { route } = this.#deps.admitted;
    if (route.kind === RouteKind.Idempotent && route.maxAttempts > 1) {
      return route.latencyGoalMs;
    }
    return Math.max(MIN_OVERDUE_MS, OVERDUE_RATIO * this.#deps.usualMs);
  }

  head(head: ResponseHead): void {
    // A target may send an earlier response once more, also a refusal.
    if (!head.isMatching) return this.#breakOff("answer to another request");
    this.#watchdog?.recordProgress();
    this.#deps.reservation.head(head);
    const isSuccess = head.status >= 200 && head.status < 300;
    if (head.report !== RunReport.Answered) return this.#refused(head);
    if (isSuccess && !head.isSigned) {
      return this.#breakOff("answer without signature");
    }
    this.#head = head;
    const { route } = this.#deps.admitted;
    this.#isStream = isSuccess && route.kind === RouteKind.Stream;
    if (this.#deps.isResumed && !(this.#isStream && isContinuation(head))) {
      return this.#breakOff(`status ${head.status} for a resumed stream`);
    }
    if (route.kind !== RouteKind.Idempotent) {
      this.#expectProgress(
        this.#isStream && route.isResumable ? silenceMsOf(route) : undefined,
      );
    }
    if (head.status < 500) {
      this.#recordProgress();
      this.#deps.onAccepted();
    }
    if (this.#isStream && !this.#deps.isResumed) {
      this.#deps.response.begin(route.isResumable ? withoutLength(head) : head);
    }
  }

  #refused({ status, report }: ResponseHead): void {
    if (report === RunReport.Unconfirmed) {
      const detail = `status ${status} without a statement of not having run`;
      return this.#stop({ kind: "unconfirmed", status, detail });
    }
    const isAttempt = report === RunReport.NotRun;
    this.#stop({ kind: "not-run", isAttempt, status });
    // The request may go to the other target next; a late copy of this response
    // would then name it rightly.
    if (!isAttempt) this.#call?.abort("another target is at the address");
  }

  data(bytes: Buffer): boolean {
    this.#held.received(bytes.length);
    if (this.#outcome) return this.#skip(bytes, this.#outcome);
    this.#recordFirstBytes();
    if (!this.#isStream) return this.#holdOrForward(bytes);
    const complete = this.#splitter.push(bytes);
    const canHold = this.#held.tryHold(this.#splitter.rest.length);
    if (this.#splitter.isOverlong || !canHold) {
      this.#breakOff("event is too large");
    }
    if (this.#outcome || !complete) return true;
    const mayContinue = complete.bytes.length === 0 ||
      this.#forwardEvents(complete);
    if (complete.fault !== undefined) this.#breakOff(complete.fault);
    return mayContinue;
  }

  #forwardEvents({ bytes, lastId }: WholeEvents): boolean {
    // Bytes that complete no event are no progress for the caller.
    this.#recordProgress();
    const now = monotonicMs();
    this.#firstEventAt ??= now;
    const number = lastId === undefined ? Number.NaN : Number(lastId);
    if (Number.isSafeInteger(number)) {
      this.#lastNumbered = { number, at: now };
      this.#firstNumbered ??= this.#lastNumbered;
    }
    this.#deps.watch.wrote();
    this.#deps.onEvent(lastId);
    return this.#forward(bytes);
  }

  /** Skips the body of a refusal; the target fails if it has no end. */
  #skip(bytes: Buffer, refusal: AttemptEnd): boolean {
    this.#refusalBytes += bytes.length;
    if (this.#isEnded || this.#refusalBytes <= MAX_REFUSAL_BYTES) return true;
    this.#call?.abort("refusal without end");
    this.#deps.reservation.failed();
    this.#end(refusal);
    return true;
  }

  #holdOrForward(bytes: Buffer): boolean {
    const head = this.#head;
    if (!head) return true;
    const step = this.#body.push(bytes, head.bodyBytes);
    if (step === BodyStep.Hold) return true;
    if (step === BodyStep.Endless || head.status >= 500) {
      this.#breakOff("body is too large");
      return true;
    }
    // No other target may answer once the response has begun.
    this.#recordProgress();
    this.#forwardHeld(head);
    return this.#forward(bytes);
  }

  /** Forwards the head, unless it was, and what is held of the body. */
  #forwardHeld(head: ResponseHead): void {
    const { response } = this.#deps;
    if (!response.hasBegun) response.begin(head);
    const held = this.#body.take();
    if (held.length > 0) response.write(held, () => {});
  }

  #forward(bytes: Buffer): boolean {
    const mayContinue = this.#deps.response.write(
      bytes,
      () => this.#resume(),
    );
    // Nothing arrives while the call is paused for a slow caller.
    if (!mayContinue) this.#watchdog?.suspend();
    return mayContinue;
  }

  #resume(): void {
    this.#watchdog?.resume();
    this.#call?.resume();
  }

  ended(): void {
    if (this.#outcome) return this.#end(this.#outcome);
    const head = this.#head;
    if (!head) return this.#end({ kind: "broken", detail: "no answer" });
    if (this.#isStream) return this.#streamEnded(head);
    if (head.status >= 500) {
      return this.#end({ kind: "error-answer", head, body: this.#body.take() });
    }
    this.#forwardHeld(head);
    this.#complete(head);
  }

  failed({ mayHaveRun, detail }: CallFailure): void {
    if (this.#outcome) return this.#end(this.#outcome);
    if (this.#deps.isOver()) return this.#endCancelled();
    if (!mayHaveRun) return this.#end({ kind: "unsent", detail });
    this.#deps.watch.broke();
    this.#end({ kind: "broken", detail });
  }

  #streamEnded(head: ResponseHead): void {
    if (this.#splitter.rest.length > 0) {
      return this.#endBroken("ends inside an event");
    }
    const isEmpty = this.#firstEventAt === undefined;
    if (isEmpty && (head.endsWithConnection || this.#deps.expectsEvent())) {
      return this.#endBroken("ends before its first event");
    }
    this.#complete(head);
  }

  #endBroken(detail: string): void {
    this.#deps.watch.broke();
    this.#end({ kind: "broken", detail });
  }

  #complete({ status, endsWithConnection = false }: ResponseHead): void {
    this.#deps.watch.completed({ endsWithConnection });
    this.#deps.response.end();
    this.#end({ kind: "over", status });
  }

  #recordFirstBytes(): void {
    if (this.#hasFirstBytes) return;
    this.#hasFirstBytes = true;
    this.#deps.inputs.release();
    const ms = monotonicMs() - this.#startedAt;
    if ((this.#head?.status ?? 0) < 400) this.#deps.reservation.begun(ms);
    this.#deps.onFirstBytes(ms);
  }

  /** Reports each silence of this length from now on; undefined: none. */
  #expectProgress(silenceMs: number | undefined): void {
    this.#watchdog?.end();
    if (silenceMs === undefined) return;
    const watchdog = new Watchdog(silenceMs);
    this.#watchdog = watchdog;
    watchdog.signal.addEventListener("abort", () => {
      if (watchdog.isExpired) this.#reportSilence(silenceMs);
    });
  }

  #reportSilence(ms: number): void {
    if (this.#outcome) return this.#abort(this.#outcome);
    this.#expectProgress(ms);
    if (!this.#isSilent) this.#deps.reservation.overdue();
    this.#isSilent = true;
    this.#deps.onSilent(ms);
  }

  #recordProgress(): void {
    this.#watchdog?.recordProgress();
    if (!this.#isSilent) return;
    this.#isSilent = false;
    this.#deps.onProgress();
  }

  #breakOff(detail: string): void {
    this.#stop({ kind: "broken", detail });
  }

  /** Fixes the outcome before the call has ended. */
  #stop(outcome: AttemptEnd): void {
    if (this.#outcome || this.#isEnded) return;
    this.#outcome = outcome;
    // The connection stays usable if the rest of a refusal is read.
    const isRefusal = outcome.kind === "not-run" ||
      outcome.kind === "unconfirmed";
    if (!isRefusal) this.#abort(outcome);
  }

  #abort(outcome: AttemptEnd): void {
    this.#call?.abort("detail" in outcome ? outcome.detail : outcome.kind);
    this.#end(outcome);
  }

  /** True when an end counts against the target; silence did before. */
  #isFault({ kind }: AttemptEnd): boolean {
    return kind !== "not-run" && kind !== "cancelled" && !this.#isGivenUp;
  }

  /** Ends a call that this process aborted without a fault of the target. */
  #endCancelled(): void {
    this.#deps.reservation.discarded();
    this.#end({ kind: "over" });
  }

  #end(end: AttemptEnd): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#watchdog?.end();
    this.#held.tryHold(0);
    const { reservation } = this.#deps;
    if (end.kind === "over") {
      reservation.done(monotonicMs() - this.#startedAt, this.#writtenEvents);
    } else if (this.#isFault(end)) reservation.failed();
    else reservation.discarded();
    this.#deps.onEnd(end);
  }
}

/** Time after which a stream counts as silent, in milliseconds. */
function silenceMsOf({ maxPauseMs = 0 }: Route): number {
  return Math.max(MIN_SILENCE_MS, SILENCE_RATIO * maxPauseMs);
}

/** True when a response may go on with a stream that has begun. */
function isContinuation({ status, isOtherMedia }: ResponseHead): boolean {
  return status === HTTP_OK && !isOtherMedia;
}

/**
 * Returns the head without the length of the body: another target may go on with
 * the stream, and the whole then has another length.
 */
function withoutLength(head: ResponseHead): ResponseHead {
  const isLength = (i: number) =>
    head.headers[i - i % 2]?.toLowerCase() === "content-length";
  return { ...head, headers: head.headers.filter((_, i) => !isLength(i)) };
}
