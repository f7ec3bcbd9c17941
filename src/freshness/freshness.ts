/**
 * How long ago the configuration was last confirmed to be the newest.
 *
 * @module
 */

/** Age above which a process takes no new work, in milliseconds. */
export const MAX_CONFIRMED_AGE_MS = 5_000;

/** When the configuration was last confirmed. */
export interface Freshness {
  /** Monotonic time in milliseconds; undefined before the first time. */
  readonly confirmedAt?: number;
}

/** Freshness after a confirmation that was `ageMs` old at time `now`. */
export function confirm(
  state: Freshness,
  opts: { now: number; ageMs: number },
): Freshness {
  const confirmedAt = opts.now - opts.ageMs;
  return state.confirmedAt !== undefined && state.confirmedAt >= confirmedAt
    ? state
    : { confirmedAt };
}

/** Age of the last confirmation in milliseconds; infinite without one. */
export function confirmedAge(state: Freshness, now: number): number {
  return state.confirmedAt === undefined ? Infinity : now - state.confirmedAt;
}
