/**
 * Progress timeout of a call or stream.
 *
 * @module
 */

import { TimeoutError } from "./sleep.ts";

/** Aborts its signal when no progress is reported for a given time. */
export class Watchdog {
  readonly #abort = new AbortController();
  readonly #silenceTimeoutMs: number;
  #timer: NodeJS.Timeout | undefined;
  #expired = false;

  /** Starts the timeout. */
  constructor(silenceTimeoutMs: number) {
    this.#silenceTimeoutMs = silenceTimeoutMs;
    this.recordProgress();
  }

  /** Aborts when the timeout expires or the watchdog is ended. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True when the timeout has expired. */
  get isExpired(): boolean {
    return this.#expired;
  }

  /** Records progress and restarts the timeout. */
  recordProgress(): void {
    clearTimeout(this.#timer);
    if (this.#abort.signal.aborted) return;
    this.#timer = setTimeout(() => this.#expire(), this.#silenceTimeoutMs);
  }

  /** Cancels the timeout and aborts whatever depends on the signal. */
  end(): void {
    clearTimeout(this.#timer);
    this.#abort.abort();
  }

  #expire(): void {
    this.#expired = true;
    this.#abort.abort(new TimeoutError(this.#silenceTimeoutMs));
  }
}
