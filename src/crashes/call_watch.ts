/**
 * Observes one call to a target: whether the target writes an answer on its
 * prompt, and how the call ends.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { PromptSegment } from "../quarantine/mod.ts";
import type { WatchedTarget } from "./ports.ts";

/**
 * Time for which a target that has begun to write an answer has to go on before
 * its prompt counts as harmless, in milliseconds.
 */
const SURVIVAL_MS = 1_000;

/** Effects of what a call shows. */
export interface CallFindings {
  /** The target has written an answer on the segments. */
  survived(segments: readonly PromptSegment[]): void;
  /** The connection ended before that. */
  broke(call: BrokenCall): void;
}

/** Call whose connection ended before its prompt was shown to be harmless. */
export interface BrokenCall {
  readonly target: WatchedTarget;
  readonly segments: readonly PromptSegment[];
  /** Monotonic time at which the call was sent. */
  readonly sentAt: number;
  /** True when the end may also be that of a complete answer. */
  readonly isEnd: boolean;
}

/** Watch on one call. */
export class CallWatch {
  readonly #target: WatchedTarget;
  readonly #segments: readonly PromptSegment[];
  readonly #findings: CallFindings;
  readonly #sentAt = monotonicMs();
  #writingSince: number | undefined;
  #hasSurvived = false;

  constructor(
    target: WatchedTarget,
    segments: readonly PromptSegment[],
    findings: CallFindings,
  ) {
    this.#target = target;
    this.#segments = segments;
    this.#findings = findings;
  }

  /** Records that a part of the answer has arrived. */
  wrote(): void {
    const now = monotonicMs();
    this.#writingSince ??= now;
    if (now - this.#writingSince >= SURVIVAL_MS) this.#survive();
  }

  /**
   * Records a complete answer. One that ends with its connection may also have
   * been broken off.
   */
  completed({ endsWithConnection }: { endsWithConnection: boolean }): void {
    if (endsWithConnection) this.#broke(true);
    else this.#survive();
  }

  /** Records that the connection was lost. */
  broke(): void {
    this.#broke(false);
  }

  #broke(isEnd: boolean): void {
    if (this.#hasSurvived || this.#segments.length === 0) return;
    this.#findings.broke({
      target: this.#target,
      segments: this.#segments,
      sentAt: this.#sentAt,
      isEnd,
    });
  }

  #survive(): void {
    if (this.#hasSurvived) return;
    this.#hasSurvived = true;
    this.#findings.survived(this.#segments);
  }
}
