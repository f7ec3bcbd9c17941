/**
 * Decides when a process polls the table service, so that the whole fleet stays
 * within a small budget of reads.
 *
 * @module
 */

/** Reads of the lists per second by the whole fleet, on average. */
export const FLEET_READS_PER_S = 100;
/**
 * Interval between polls in a small fleet, in milliseconds; jitter shortens it
 * by up to half.
 */
const MIN_INTERVAL_MS = 1_000;
/** Confirmed age from which peers are queried more often, in milliseconds. */
export const URGENT_AGE_MS = 2_500;
/**
 * Spread of the confirmed age from which a process polls early, in
 * milliseconds. The processes that poll first spare the others a poll.
 */
const URGENT_AGE_SPREAD_MS = 1_000;
const MS_PER_S = 1_000;

/** Poll schedule of one process; times are monotonic, in milliseconds. */
export interface Pacing {
  /** Time of the next regular poll. */
  readonly nextPollAt: number;
  /** Earliest time of an early poll. */
  readonly earliestPollAt: number;
  /** Confirmed age from which the process polls early. */
  readonly urgentAgeMs: number;
}

/** Pacing of a process that has not polled yet. */
export const INITIAL_PACING: Pacing = {
  nextPollAt: -Infinity,
  earliestPollAt: -Infinity,
  urgentAgeMs: URGENT_AGE_MS,
};

/**
 * Returns the pacing after a poll at time `now` in a fleet of `fleetSize`
 * processes. The next time is drawn from the whole interval, so that processes
 * that start together do not poll together. After a failure there is no early
 * poll, so that a store that is out or limits its callers receives no more than
 * the usual rate.
 */
export function applyPoll(
  opts: { now: number; ok: boolean; fleetSize: number; random: () => number },
): Pacing {
  const { now, ok, fleetSize, random } = opts;
  const minIntervalMs = MIN_INTERVAL_MS * (1 - random() / 2);
  const meanIntervalMs = fleetSize / FLEET_READS_PER_S * MS_PER_S;
  const nextPollAt = now +
    Math.max(minIntervalMs, 2 * meanIntervalMs * random());
  return {
    nextPollAt,
    earliestPollAt: ok ? now + minIntervalMs : nextPollAt,
    urgentAgeMs: URGENT_AGE_MS + URGENT_AGE_SPREAD_MS * random(),
  };
}

/** True when the process should poll now. */
export function isPollDue(
  pacing: Pacing,
  opts: { now: number; confirmedAgeMs: number; isBehind: boolean },
): boolean {
  if (opts.now >= pacing.nextPollAt) return true;
  const isUrgent = opts.isBehind || opts.confirmedAgeMs > pacing.urgentAgeMs;
  return isUrgent && opts.now >= pacing.earliestPollAt;
}
