/**
 * Progress timeout of a call or stream.
 *
 * @module
 */

import { TimeoutError } from "./sleep.ts";

/**
 * Number of slices of a timeout. A slice counts as its own length however late
 * its timer runs, so that a stall of this process counts as one slice at most.
 */
const SLICES = 4;

/**
 * Aborts its signal when no progress is reported for a given time. Only time in
 * which this process could have read progress counts.
 */
export class Watchdog {
  readonly #abort = new AbortController();
  readonly #silenceTimeoutMs: number;
  #silentSlices = 0;
  #timer: NodeJS.Timeout | undefined;
  #check: NodeJS.Immediate | undefined;
  #suspended = false;
  #expired = false;

  /** Starts the timeout. */
  constructor(silenceTimeoutMs: number) {
    this.#silenceTimeoutMs = silenceTimeoutMs;
    this.#restart();
  }

  /** Aborts when the timeout expires or the watchdog is ended. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True when the timeout has expired. */
  get isExpired(): boolean {
    return this.#expired;
  }

  /** Records progress and restarts the timeout unless it is suspended. */
  recordProgress(): void {
    if (!this.#suspended) this.#restart();
  }

  /** Stops the timeout while the reader is paused. */
  suspend(): void {
    this.#suspended = true;
    this.#cancel();
  }

  /** Restarts a suspended timeout. */
  resume(): void {
    if (!this.#suspended) return;
    this.#suspended = false;
    this.#restart();
  }

  /** Cancels the timeout and aborts whatever depends on the signal. */
  end(): void {
    this.#cancel();
    this.#abort.abort();
  }

  #restart(): void {
    this.#cancel();
    if (this.#abort.signal.aborted) return;
    this.#silentSlices = 0;
    this.#startSlice();
  }

  #cancel(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#check);
  }

  /** Starts a slice; it ends after the socket reads that its timer overtook. */
  #startSlice(): void {
    this.#timer = setTimeout(() => {
      this.#check = setImmediate(() => this.#endSlice());
    }, Math.ceil(this.#silenceTimeoutMs / SLICES));
  }

  #endSlice(): void {
    this.#silentSlices += 1;
    if (this.#silentSlices < SLICES) this.#startSlice();
    else this.#expire();
  }

  #expire(): void {
    this.#expired = true;
    this.#abort.abort(new TimeoutError(this.#silenceTimeoutMs));
  }
}
