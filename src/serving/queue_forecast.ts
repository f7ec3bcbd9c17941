/**
 * Time until the pieces of a request are sent to targets, from the work ahead
 * of them in the queue and the times at which targets are free.
 *
 * @module
 */

/** Target that gets further calls. */
export interface ForecastTarget {
  /** Time until it takes the next call, in milliseconds. */
  readonly freeInMs: number;
  /** Time of a call at it, in milliseconds. */
  readonly callMs: number;
}

/** Times of the next calls of one pool, computed as far as they are asked for. */
export class QueueForecast {
  readonly #targets: readonly ForecastTarget[];
  readonly #piecesPerCall: number;
  readonly #freeInMs: number[];
  /** Times until the next calls are sent, in milliseconds. */
  readonly #calls: number[] = [];

  constructor(targets: readonly ForecastTarget[], piecesPerCall: number) {
    this.#targets = targets;
    this.#piecesPerCall = Math.max(1, piecesPerCall);
    this.#freeInMs = targets.map(({ freeInMs }) => freeInMs);
  }

  /**
   * Returns the time until the last of `pieces` pieces is sent, in
   * milliseconds, when each call carries as many as calls under load do and goes
   * to the target that is free first. Infinite without targets.
   */
  sentInMs(pieces: number): number {
    if (this.#targets.length === 0) return Number.POSITIVE_INFINITY;
    const calls = Math.max(1, Math.ceil(pieces / this.#piecesPerCall));
    while (this.#calls.length < calls) this.#addCall();
    return this.#calls[calls - 1] ?? 0;
  }

  #addCall(): void {
    const next = indexOfLeast(this.#freeInMs);
    const sentMs = this.#freeInMs[next] ?? 0;
    this.#calls.push(sentMs);
    this.#freeInMs[next] = sentMs + (this.#targets[next]?.callMs ?? 0);
  }
}

function indexOfLeast(values: readonly number[]): number {
  return values.reduce(
    (least, value, i) =>
      value < (values[least] ?? Number.POSITIVE_INFINITY) ? i : least,
    0,
  );
}
