/**
 * Token bucket for the requests a second that a target takes.
 *
 * @module
 */

const MS_PER_S = 1_000;
/** Time for which unused requests are saved, in seconds. */
const SAVED_S = 0.5;

/** Longest wait that is stated, in milliseconds; a limit may be zero. */
const MAX_WAIT_MS = 60_000;

/** Requests that may be sent to one target. Immutable. */
export class RequestBucket {
  readonly #tokens: number;
  readonly #at: number;

  /** A bucket that holds `tokens` requests at monotonic time `at`. */
  constructor(tokens: number, at: number) {
    this.#tokens = tokens;
    this.#at = at;
  }

  /** Returns the bucket after one request; undefined when none is left. */
  take(now: number, perS: number): RequestBucket | undefined {
    const tokens = this.#tokensAt(now, perS);
    return tokens < 1 ? undefined : new RequestBucket(tokens - 1, now);
  }

  /** Time until a request may be sent, in milliseconds. */
  waitMs(now: number, perS: number): number {
    const missing = Math.max(0, 1 - this.#tokensAt(now, perS));
    if (missing === 0) return 0;
    return Math.min(MAX_WAIT_MS, missing / perS * MS_PER_S);
  }

  #tokensAt(now: number, perS: number): number {
    const added = Math.max(0, now - this.#at) * perS / MS_PER_S;
    return Math.min(1 + perS * SAVED_S, this.#tokens + added);
  }
}
