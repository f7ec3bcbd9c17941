/**
 * What the newest requests of a route were like. It tells how long ago the
 * caller of a request first sent it: callers that come back after a refusal
 * have less time left than those that come for the first time.
 *
 * @module
 */

/** Requests that are remembered of a route. */
const MAX_REMEMBERED = 64;
/** Requests with the same deadline from which on it is the usual one. */
const MIN_SAME = 3;

/** Newest requests of one route. Immutable. */
export class RouteHistory {
  readonly #deadlines: readonly number[];

  constructor(deadlines: readonly number[] = []) {
    this.#deadlines = deadlines;
  }

  /** History after a request whose caller waits `deadlineMs` milliseconds. */
  note(deadlineMs: number): RouteHistory {
    return new RouteHistory(
      [...this.#deadlines, deadlineMs].slice(-MAX_REMEMBERED),
    );
  }

  /**
   * Time since the caller first sent a request, in milliseconds: by how much
   * its deadline is below the longest one that several requests have. 0 while
   * no such deadline is known.
   */
  ageMs(deadlineMs: number): number {
    const counts = new Map<number, number>();
    this.#deadlines.forEach((one) =>
      counts.set(one, (counts.get(one) ?? 0) + 1)
    );
    const usual = [...counts].filter(([, count]) => count >= MIN_SAME)
      .map(([deadline]) => deadline);
    return Math.max(0, Math.max(0, ...usual) - deadlineMs);
  }
}
