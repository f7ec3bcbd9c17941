/**
 * Progress of one stage call over its attempts.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Refusal, StageCall, Target, TargetId } from "../model/mod.ts";

/** A stage call before its target and attempt are chosen. */
export type StageRequest = Omit<
  StageCall,
  "callId" | "target" | "remainingMs" | "traceparent"
>;

/** Options of a dispatch. */
export interface DispatchOptions {
  readonly pool: string;
  /** Monotonic time at which the answer is due, in milliseconds. */
  readonly deadlineAt: number;
  readonly signal: AbortSignal;
  readonly traceparent?: string;
  /**
   * Receives generated text. Once text was passed on the call is neither
   * retried nor hedged.
   */
  readonly onText?: (text: string) => void;
}

/** Progress of one stage call over its attempts. */
export class StageDispatch {
  readonly req: StageRequest;
  readonly opts: DispatchOptions;
  readonly tried = new Set<TargetId>();
  /** Refusals of the attempts that were sent, or why none was. */
  readonly refusals: Refusal[] = [];
  attempts = 0;
  /** True once an attempt succeeded. */
  won = false;
  /** Call whose text was passed on. */
  #streaming: string | undefined;
  #claimVersion: number;
  #fresh = true;
  #lastTarget: TargetId = "";

  constructor(req: StageRequest, opts: DispatchOptions) {
    this.req = req;
    this.opts = opts;
    this.#claimVersion = req.claimVersion ?? 0;
  }

  /** Version of the claim row for the next attempt. */
  get claimVersion(): number {
    return this.#claimVersion;
  }

  set claimVersion(version: number) {
    this.#claimVersion = version;
    this.#fresh = true;
  }

  /** True when the version was set after the last attempt. */
  get hasFreshVersion(): boolean {
    return this.#fresh;
  }

  get isLate(): boolean {
    return monotonicMs() >= this.opts.deadlineAt;
  }

  /** True once text was passed on to the caller. */
  get passedOn(): boolean {
    return this.#streaming !== undefined;
  }

  /** Budgets that pay for the next retry. */
  get budgetNames(): readonly string[] {
    return [organisationBudget(this.req), targetBudget(this.#lastTarget)];
  }

  /** Notes a new attempt; gives its number. */
  begin(target: Target): number {
    this.tried.add(target.id);
    this.#lastTarget = target.id;
    this.#fresh = false;
    this.attempts += 1;
    return this.attempts;
  }

  /** False when the caller was given the text of another attempt. */
  mayWin({ callId }: StageCall): boolean {
    return this.#streaming === undefined || this.#streaming === callId;
  }

  /** Passes on the text of the attempt that streams first, and of no other. */
  textSink(callId: string): ((text: string) => void) | undefined {
    const { onText } = this.opts;
    if (!onText) return undefined;
    return (text) => {
      this.#streaming ??= callId;
      if (this.#streaming === callId) onText(text);
    };
  }
}

/** Name of an organisation's retry budget. */
export function organisationBudget({ organisation }: StageRequest): string {
  return `organisation/${organisation}`;
}

/** Name of a target's retry budget. */
export function targetBudget(target: TargetId): string {
  return `target/${target}`;
}
