/**
 * One attempt at a stage call: sends it to an agent and follows its answer.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { timeoutSignal, Watchdog } from "../kernel/mod.ts";
import {
  type CallEvent,
  notRun,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
  type TargetLoad,
} from "../model/mod.ts";
import {
  type Answer,
  type AnswerStep,
  applyAnswer,
  createAnswer,
} from "../pipeline/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import type { AdmissionService } from "./admission_service.ts";
import type { Directory } from "./directory.ts";

/** Longest silence on an answer stream, in milliseconds. */
export const SILENCE_MS = 1_600;
const RETRY_AFTER_MS = 1_000;

/** How an attempt ended. */
export interface AttemptOutcome {
  readonly outcome: Result<StageResult, Refusal>;
  /**
   * True when the agent did not say how the call ended, so that it may still
   * run after the attempt was given up.
   */
  readonly unsettled: boolean;
}

/** What sending calls needs of a {@linkcode Directory}. */
export type TargetBook = Pick<
  Directory,
  "begin" | "choose" | "client" | "noticeLists" | "report" | "suspect"
>;

/** What an attempt is made with. */
export interface AttemptParts {
  readonly directory: TargetBook;
  readonly metrics: Metrics;
  /** Learns the load that rides on answers. */
  readonly admission?: AdmissionService;
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly signal: AbortSignal;
  readonly onText?: (text: string) => void;
}

/** One attempt at one target. */
export class Attempt {
  readonly #parts: AttemptParts;
  readonly #call: StageCall;
  readonly #target: Target;
  #answer: Answer;

  constructor(parts: AttemptParts, call: StageCall, target: Target) {
    this.#parts = parts;
    this.#call = call;
    this.#target = target;
    this.#answer = createAnswer(call);
  }

  /** Runs the attempt to its end. */
  async run(opts: AttemptOptions): Promise<AttemptOutcome> {
    const watch = new Watchdog(SILENCE_MS);
    const signal = timeoutSignal(
      this.#call.remainingMs,
      opts.signal,
      watch.signal,
    );
    try {
      return await untilAborted(this.#follow(opts, { watch, signal }), signal);
    } catch (failure) {
      return this.#failed(failure, { watch, caller: opts.signal });
    } finally {
      watch.end();
    }
  }

  #reportLoad(load: TargetLoad): void {
    const { directory, admission } = this.#parts;
    directory.report(this.#target, load);
    admission?.reportLoad(this.#call.organisation, this.#target.id, load);
  }

  async #follow(
    opts: AttemptOptions,
    { watch, signal }: { watch: Watchdog; signal: AbortSignal },
  ): Promise<AttemptOutcome> {
    const { directory } = this.#parts;
    const events = await directory.client(this.#target)
      .call(this.#call, signal);
    for await (const event of events) {
      watch.heard();
      if (signal.aborted) break;
      if ("load" in event) this.#reportLoad(event.load);
      if ("listsVersion" in event) directory.noticeLists(event.listsVersion);
      const end = this.#onStep(this.#apply(event), opts);
      if (end) return end;
    }
    return unsettled(cutOff("The answer stream has no last event"));
  }

  #apply(event: CallEvent): AnswerStep {
    const step = applyAnswer(this.#answer, event);
    if ("answer" in step) this.#answer = step.answer;
    return step;
  }

  #onStep(step: AnswerStep, opts: AttemptOptions): AttemptOutcome | undefined {
    switch (step.kind) {
      case "continue":
        return undefined;
      case "text":
        opts.onText?.(step.text);
        return undefined;
      case "dropped":
        this.#count("answers_dropped_total");
        return undefined;
      case "done":
        return { outcome: ok(step.result), unsettled: false };
      case "refused":
        return { outcome: err(step.refusal), unsettled: false };
      case "broken":
        this.#count("answers_broken_total");
        return unsettled(step.refusal);
    }
  }

  #failed(
    failure: unknown,
    { watch, caller }: { watch: Watchdog; caller: AbortSignal },
  ): AttemptOutcome {
    const { directory } = this.#parts;
    if (isNotSent(failure)) {
      directory.suspect(this.#target);
      return { outcome: err(this.#unreachable()), unsettled: false };
    }
    if (watch.isExpired) {
      this.#count("connections_silent_total");
      directory.suspect(this.#target);
      directory.client(this.#target).renew?.();
      return unsettled(cutOff(`${this.#target.id} went silent`));
    }
    if (caller.aborted) return unsettled(givenUp());
    return unsettled(cutOff(`The connection to ${this.#target.id} was lost`));
  }

  #unreachable(): Refusal {
    return notRun(
      RefusalReason.TargetUnreachable,
      `No connection to the agent of ${this.#target.id}`,
      RETRY_AFTER_MS,
    );
  }

  #count(name: string): void {
    this.#parts.metrics.count(name, { stage: this.#call.stage });
  }
}

/** Result of `work`, or a rejection as soon as `signal` aborts. */
function untilAborted<T>(work: Promise<T>, signal: AbortSignal): Promise<T> {
  const aborted = new Promise<never>((_resolve, reject) => {
    const abort = () => reject(signal.reason);
    if (signal.aborted) abort();
    signal.addEventListener("abort", abort, { once: true });
  });
  work.catch(() => {});
  return Promise.race([work, aborted]);
}

function unsettled(refusal: Refusal): AttemptOutcome {
  return { outcome: err(refusal), unsettled: true };
}

const NOT_SENT_CODES = [
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
];

/** True when the error proves that nothing was written to the agent's socket. */
function isNotSent(failure: unknown): boolean {
  return causes(failure).some(({ code }) =>
    NOT_SENT_CODES.includes(String(code))
  );
}

function causes(failure: unknown): { code?: unknown }[] {
  if (!(failure instanceof Error)) return [];
  return [failure as { code?: unknown }, ...causes(failure.cause)];
}

function cutOff(detail: string): Refusal {
  return outcomeUnknown(RefusalReason.Silent, detail, RETRY_AFTER_MS);
}

function givenUp(): Refusal {
  return outcomeUnknown(
    RefusalReason.Cancelled,
    "The caller gave the request up",
  );
}
