/**
 * Replacement of a silent target: the next attempt, prepared while the call to
 * the target is still open.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type { PreparedAttempt, Unprepared } from "./attempt_preparer.ts";

/** Prepares an attempt until the signal aborts. */
export type Prepare = (
  signal: AbortSignal,
) => Promise<Result<PreparedAttempt, Unprepared>>;

/** Next attempt that is being prepared, or was. */
export class Replacement {
  readonly #abort = new AbortController();
  #isTaken = false;
  readonly #prepared: Promise<Result<PreparedAttempt, Unprepared>>;

  /** Starts to prepare the attempt. */
  constructor(prepare: Prepare) {
    this.#prepared = prepare(this.#abort.signal);
  }

  /** Resolves with the attempt; whoever waits for it uses or discards it. */
  get prepared(): Promise<Result<PreparedAttempt, Unprepared>> {
    return this.#prepared;
  }

  /** True once the replacement is no longer wanted. */
  get isCancelled(): boolean {
    return this.#abort.signal.aborted;
  }

  /** True once the attempt is to follow the current one. */
  get isTaken(): boolean {
    return this.#isTaken;
  }

  /** Decides that the attempt follows the current one. */
  take(): void {
    this.#isTaken = true;
  }

  /** Stops the preparation. */
  cancel(): void {
    this.#abort.abort();
  }
}

/** Returns the target and the results of an attempt that is not made. */
export function discardAttempt(attempt: PreparedAttempt): void {
  attempt.reservation.discarded();
  attempt.inputs.release();
}
