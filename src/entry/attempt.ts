/**
 * One attempt at a stage call: sends the call to an agent and reads the
 * response stream.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { isNotSent } from "../http/mod.ts";
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
  applyCallEvent,
  type CallResponse,
  type CallResponseStep,
  createCallResponse,
} from "../pipeline/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import type { AdmissionService } from "./admission_service.ts";
import type { Directory } from "./directory.ts";

/**
 * Gap between two events of a response stream after which it counts as silent,
 * in milliseconds.
 */
export const STREAM_IDLE_TIMEOUT_MS = 1_600;
const RETRY_AFTER_MS = 1_000;

/** Outcome of an attempt. */
export interface AttemptOutcome {
  readonly outcome: Result<StageResult, Refusal>;
  /**
   * True when the agent reported no valid outcome, so that the call may still
   * run after the attempt has ended.
   */
  readonly unsettled: boolean;
}

/** Members of a {@linkcode Directory} that dispatching calls needs. */
export type TargetDirectory = Pick<
  Directory,
  "begin" | "choose" | "client" | "observeLists" | "recordLoad" | "suspect"
>;

/** Dependencies of an attempt. */
export interface AttemptDeps {
  readonly directory: TargetDirectory;
  readonly metrics: Metrics;
  /** Receives the load reports that responses carry. */
  readonly admission?: AdmissionService;
}

/** Options of an attempt. */
export interface AttemptOptions {
  readonly signal: AbortSignal;
  /** Receives generated text. */
  readonly onText?: (text: string) => void;
  /** Called when the response is silent; the attempt goes on. */
  readonly onSilent?: () => void;
}

/** One attempt at a stage call, at one target. */
export class Attempt {
  readonly #deps: AttemptDeps;
  readonly #call: StageCall;
  readonly #target: Target;
  #response: CallResponse;

  constructor(deps: AttemptDeps, call: StageCall, target: Target) {
    this.#deps = deps;
    this.#call = call;
    this.#target = target;
    this.#response = createCallResponse(call);
  }

  /** Sends the call and returns the outcome of the attempt. */
  async run(opts: AttemptOptions): Promise<AttemptOutcome> {
    const watchdog = new Watchdog(STREAM_IDLE_TIMEOUT_MS);
    watchdog.signal.addEventListener("abort", () => {
      if (watchdog.isExpired) this.#reportSilence(opts);
    });
    const signal = timeoutSignal(this.#call.remainingMs, opts.signal);
    try {
      return await untilAborted(
        this.#readEvents(opts, { watchdog, signal }),
        signal,
      );
    } catch (failure) {
      return this.#outcomeOfFailure(failure, { watchdog, caller: opts.signal });
    } finally {
      watchdog.end();
    }
  }

  /** Lets further calls avoid the target and its connections. */
  #reportSilence(opts: AttemptOptions): void {
    this.#count("connections_silent_total");
    this.#deps.directory.client(this.#target).renew?.();
    this.#suspectTarget(opts);
  }

  #suspectTarget({ onSilent }: AttemptOptions): void {
    this.#deps.directory.suspect(this.#target);
    onSilent?.();
  }

  #recordLoad(load: TargetLoad): void {
    const { directory, admission } = this.#deps;
    directory.recordLoad(this.#target, load);
    admission?.recordLoad(this.#call.organisation, this.#target.id, load);
  }

  async #readEvents(
    opts: AttemptOptions,
    { watchdog, signal }: { watchdog: Watchdog; signal: AbortSignal },
  ): Promise<AttemptOutcome> {
    const { directory } = this.#deps;
    const events = await directory.client(this.#target)
      .call(this.#call, signal);
    for await (const event of events) {
      watchdog.recordProgress();
      if (signal.aborted) break;
      if ("load" in event) this.#recordLoad(event.load);
      if ("isSilent" in event && event.isSilent) this.#suspectTarget(opts);
      if ("listsVersion" in event) directory.observeLists(event.listsVersion);
      const ended = this.#onStep(this.#apply(event), opts);
      if (ended) return ended;
    }
    return unsettled(responseLost("The answer stream has no last event"));
  }

  #apply(event: CallEvent): CallResponseStep {
    const step = applyCallEvent(this.#response, event);
    if ("response" in step) this.#response = step.response;
    return step;
  }

  #onStep(
    step: CallResponseStep,
    opts: AttemptOptions,
  ): AttemptOutcome | undefined {
    switch (step.kind) {
      case "continue":
        return undefined;
      case "text":
        opts.onText?.(step.text);
        return undefined;
      case "discarded":
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

  #outcomeOfFailure(
    failure: unknown,
    { watchdog, caller }: { watchdog: Watchdog; caller: AbortSignal },
  ): AttemptOutcome {
    const { directory } = this.#deps;
    if (isNotSent(failure)) {
      directory.suspect(this.#target);
      return { outcome: err(this.#unreachable()), unsettled: false };
    }
    if (watchdog.isExpired) {
      return unsettled(responseLost(`${this.#target.id} went silent`));
    }
    if (caller.aborted) return unsettled(cancelledByCaller());
    return unsettled(
      responseLost(`The connection to ${this.#target.id} was lost`),
    );
  }

  #unreachable(): Refusal {
    return notRun(
      RefusalReason.TargetUnreachable,
      `No connection to the agent of ${this.#target.id}`,
      RETRY_AFTER_MS,
    );
  }

  #count(name: string): void {
    this.#deps.metrics.count(name, { stage: this.#call.stage });
  }
}

/** Resolves with `work`; rejects as soon as `signal` aborts. */
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

function responseLost(detail: string): Refusal {
  return outcomeUnknown(RefusalReason.Silent, detail, RETRY_AFTER_MS);
}

function cancelledByCaller(): Refusal {
  return outcomeUnknown(
    RefusalReason.Cancelled,
    "The caller gave the request up",
  );
}
