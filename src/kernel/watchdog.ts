/**
 * Progress timeout of an exchange.
 *
 * @module
 */

import { TimeoutError } from "./sleep.ts";

/** Aborts its signal when nothing was heard for a given time. */
export class Watchdog {
  readonly #abort = new AbortController();
  readonly #silenceMs: number;
  #timer: NodeJS.Timeout | undefined;
  #expired = false;

  /** Starts waiting. `silenceMs` is the longest silence in milliseconds. */
  constructor(silenceMs: number) {
    this.#silenceMs = silenceMs;
    this.heard();
  }

  /** Aborts once the silence was too long, or when the watch has ended. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** True when the silence was too long. */
  get isExpired(): boolean {
    return this.#expired;
  }

  /** Takes notice of progress. */
  heard(): void {
    clearTimeout(this.#timer);
    if (this.#abort.signal.aborted) return;
    this.#timer = setTimeout(() => this.#expire(), this.#silenceMs);
  }

  /** Ends the watch and releases what depends on its signal. */
  end(): void {
    clearTimeout(this.#timer);
    this.#abort.abort();
  }

  #expire(): void {
    this.#expired = true;
    this.#abort.abort(new TimeoutError(this.#silenceMs));
  }
}
