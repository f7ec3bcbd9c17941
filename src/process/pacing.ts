/**
 * When a process asks the table service, so that the whole fleet together stays
 * within a small budget of reads.
 *
 * @module
 */

/** Reads of the lists that the whole fleet makes in a second; jitter adds up to a half. */
export const FLEET_READS_PER_S = 100;
/** Usual time between two questions in a small fleet, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;
/** Confirmed age above which a process asks out of turn, in milliseconds. */
export const ASK_AGE_MS = 3_000;
/** Largest cut of an interval, as a share of it. */
const JITTER = 0.5;
const MS_PER_S = 1_000;

/** Questions of one process; times are monotonic, in milliseconds. */
export interface Pacing {
  /** Time from which the next question is due. */
  readonly dueAt: number;
  /** Earliest time of a question out of turn. */
  readonly earliestAt: number;
}

/** Pacing of a process that has not asked yet. */
export const NO_PACING: Pacing = { dueAt: -Infinity, earliestAt: -Infinity };

/**
 * Pacing after a question at time `now` among `fleet` processes. After a
 * failure there is no question out of turn, so that a store that is out or
 * limits its callers gets no more than the usual rate.
 */
export function applyAsked(
  opts: { now: number; ok: boolean; fleet: number; random: () => number },
): Pacing {
  const { now, ok, fleet } = opts;
  const interval = Math.max(
    MIN_INTERVAL_MS,
    fleet / FLEET_READS_PER_S * MS_PER_S,
  );
  const share = 1 - JITTER * opts.random();
  const dueAt = now + interval * share;
  return { dueAt, earliestAt: ok ? now + MIN_INTERVAL_MS * share : dueAt };
}

/** True when the process should ask now. */
export function isAskDue(
  pacing: Pacing,
  opts: { now: number; confirmedAgeMs: number; isBehind: boolean },
): boolean {
  if (opts.now >= pacing.dueAt) return true;
  const isUrgent = opts.isBehind || opts.confirmedAgeMs > ASK_AGE_MS;
  return isUrgent && opts.now >= pacing.earliestAt;
}
