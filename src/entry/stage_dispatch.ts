/**
 * State of one stage call across its attempts.
 *
 * @module
 */

import type { PromptPermit } from "../crashes/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import type { Refusal, StageCall, Target, TargetId } from "../model/mod.ts";
import type { RequestContent } from "../quarantine/mod.ts";

/** A stage call without the fields that each attempt sets. */
export type StageRequest = Omit<
  StageCall,
  "callId" | "target" | "remainingMs" | "traceparent"
>;

/** Options of a dispatch. */
export interface DispatchOptions {
  readonly pool: string;
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  /**
   * Receives generated text. After the first text, the call is neither retried
   * nor hedged.
   */
  readonly onText?: (text: string) => void;
}

/** State of one stage call across its attempts. */
export class StageDispatch {
  readonly req: StageRequest;
  readonly opts: DispatchOptions;
  /** What a target works on when it runs the call. */
  readonly content: RequestContent;
  /** Permit to send it to targets. */
  readonly permit: PromptPermit;
  /** Targets of the attempts so far. */
  readonly tried = new Set<TargetId>();
  /** Refusals of the attempts, or the reason why none was sent. */
  readonly refusals: Refusal[] = [];
  attempts = 0;
  /** True once an attempt succeeded. */
  hasSucceeded = false;
  /** Identifier of the call whose text reaches the caller. */
  #streamingCallId: string | undefined;
  #claimVersion: number;
  #isVersionFresh = true;
  #lastTarget: TargetId = "";

  constructor(
    req: StageRequest,
    opts: DispatchOptions,
    { content, permit }: { content: RequestContent; permit: PromptPermit },
  ) {
    this.req = req;
    this.opts = opts;
    this.content = content;
    this.permit = permit;
    this.#claimVersion = req.claimVersion ?? 0;
  }

  /** Version of the claim row that the next attempt carries. */
  get claimVersion(): number {
    return this.#claimVersion;
  }

  set claimVersion(version: number) {
    this.#claimVersion = version;
    this.#isVersionFresh = true;
  }

  /** True when the version was set after the last attempt began. */
  get hasFreshVersion(): boolean {
    return this.#isVersionFresh;
  }

  get isOverdue(): boolean {
    return monotonicMs() >= this.opts.deadlineAt;
  }

  /** True once text was passed to `onText`. */
  get streamed(): boolean {
    return this.#streamingCallId !== undefined;
  }

  /** Names of the budgets that the next retry or hedge is taken from. */
  get budgetNames(): readonly string[] {
    return [
      organisationBudgetName(this.req),
      targetBudgetName(this.#lastTarget),
    ];
  }

  /** Records a new attempt and returns its number, counted from 1. */
  beginAttempt(target: Target): number {
    this.tried.add(target.id);
    this.#lastTarget = target.id;
    this.#isVersionFresh = false;
    this.attempts += 1;
    return this.attempts;
  }

  /** False when text of another attempt was passed to `onText`. */
  mayWin({ callId }: StageCall): boolean {
    return this.#streamingCallId === undefined ||
      this.#streamingCallId === callId;
  }

  /**
   * Returns a sink for the text of a call. Only text of the call that streams
   * first reaches the caller.
   */
  textSink(callId: string): ((text: string) => void) | undefined {
    const { onText } = this.opts;
    if (!onText) return undefined;
    return (text) => {
      this.#streamingCallId ??= callId;
      if (this.#streamingCallId === callId) onText(text);
    };
  }
}

/** Name of an organisation's retry budget. */
export function organisationBudgetName({ organisation }: StageRequest): string {
  return `organisation/${organisation}`;
}

/** Name of a target's retry budget. */
export function targetBudgetName(target: TargetId): string {
  return `target/${target}`;
}
