/**
 * When a process asks the table service, so that the whole fleet together stays
 * within a small budget of reads.
 *
 * @module
 */

/** Reads of the lists that the whole fleet makes in a second. */
export const FLEET_READS_PER_S = 100;
/** Shortest time between two questions of one process, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;
/** Confirmed age above which a process asks out of turn, in milliseconds. */
export const ASK_AGE_MS = 3_000;
/** Longest wait after failures in a small fleet, in milliseconds. */
const MAX_BACKOFF_MS = 4_000;
/** Largest shift of a time, as a share of the interval. */
const JITTER = 0.5;
const MS_PER_S = 1_000;

/** Questions of one process; times are monotonic, in milliseconds. */
export interface Pacing {
  /** Time of the last question. */
  readonly askedAt: number;
  /** Failures since the last answer. */
  readonly failures: number;
  /** Time from which the next question is due. */
  readonly dueAt: number;
  /** Earliest time of a question out of turn. */
  readonly earliestAt: number;
}

/** Pacing of a process that has not asked yet. */
export const NO_PACING: Pacing = {
  askedAt: -Infinity,
  failures: 0,
  dueAt: -Infinity,
  earliestAt: -Infinity,
};

/** Pacing after a question at time `now` among `fleet` processes. */
export function applyAsked(
  before: Pacing,
  opts: { now: number; ok: boolean; fleet: number; random: () => number },
): Pacing {
  const { now, ok, fleet } = opts;
  const interval = Math.max(
    MIN_INTERVAL_MS,
    fleet / FLEET_READS_PER_S * MS_PER_S,
  );
  const jitter = 1 - JITTER + 2 * JITTER * opts.random();
  if (ok) {
    const dueAt = now + interval * jitter;
    const earliestAt = now + Math.min(interval, MIN_INTERVAL_MS) * jitter;
    return { askedAt: now, failures: 0, dueAt, earliestAt };
  }
  const backoff = Math.min(
    MIN_INTERVAL_MS * 2 ** before.failures,
    Math.max(MAX_BACKOFF_MS, interval),
  );
  const dueAt = now + backoff * jitter;
  return {
    askedAt: now,
    failures: before.failures + 1,
    dueAt,
    earliestAt: dueAt,
  };
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
