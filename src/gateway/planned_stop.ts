/**
 * Planned stop of this process: the time that is left for requests once the
 * stop has been announced.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { monotonicMs } from "../kernel/mod.ts";

/** Announcement of a planned stop, and the end of the requests in hand. */
export class PlannedStop {
  /** Monotonic time at which the requests in hand end. */
  #endsAt = Infinity;
  readonly #ended = new AbortController();

  constructor() {
    // Each request in hand listens to it.
    setMaxListeners(0, this.#ended.signal);
  }

  /** Announces that the requests in hand end in `ms`. */
  announce(ms: number): void {
    this.#endsAt = monotonicMs() + ms;
  }

  /** Time left for requests, in milliseconds; infinite if none is announced. */
  get remainingMs(): number {
    return Math.max(0, this.#endsAt - monotonicMs());
  }

  /** Ends the requests in hand. */
  end(): void {
    this.#ended.abort();
  }

  /** Aborts when no time is left for requests. */
  get ended(): AbortSignal {
    return this.#ended.signal;
  }
}
