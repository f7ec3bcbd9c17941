/**
 * When a process asks the table service, so that the whole fleet together stays
 * within a small budget of reads.
 *
 * @module
 */

/** Reads of the lists that the whole fleet makes in a second, on average. */
export const FLEET_READS_PER_S = 100;
/** Usual time between two questions in a small fleet, in milliseconds. */
const MIN_INTERVAL_MS = 1_000;
/** Confirmed age from which peers are asked more often, in milliseconds. */
export const ASK_AGE_MS = 2_500;
/**
 * Spread of the confirmed age at which a process asks out of turn, in
 * milliseconds. The first to ask save the others the question.
 */
const ASK_AGE_SPREAD_MS = 1_000;
const MS_PER_S = 1_000;

/** Questions of one process; times are monotonic, in milliseconds. */
export interface Pacing {
  /** Time from which the next question is due. */
  readonly dueAt: number;
  /** Earliest time of a question out of turn. */
  readonly earliestAt: number;
  /** Confirmed age from which a question out of turn is made. */
  readonly askAgeMs: number;
}

/** Pacing of a process that has not asked yet. */
export const NO_PACING: Pacing = {
  dueAt: -Infinity,
  earliestAt: -Infinity,
  askAgeMs: ASK_AGE_MS,
};

/**
 * Pacing after a question at time `now` among `fleet` processes. The next time
 * is drawn from the whole interval, so that processes that start together do
 * not ask together. After a failure there is no question out of turn, so that a
 * store that is out or limits its callers gets no more than the usual rate.
 */
export function applyAsked(
  opts: { now: number; ok: boolean; fleet: number; random: () => number },
): Pacing {
  const { now, ok, fleet, random } = opts;
  const shortest = MIN_INTERVAL_MS * (1 - random() / 2);
  const meanInterval = fleet / FLEET_READS_PER_S * MS_PER_S;
  const dueAt = now + Math.max(shortest, 2 * meanInterval * random());
  return {
    dueAt,
    earliestAt: ok ? now + shortest : dueAt,
    askAgeMs: ASK_AGE_MS + ASK_AGE_SPREAD_MS * random(),
  };
}

/** True when the process should ask now. */
export function isAskDue(
  pacing: Pacing,
  opts: { now: number; confirmedAgeMs: number; isBehind: boolean },
): boolean {
  if (opts.now >= pacing.dueAt) return true;
  const isUrgent = opts.isBehind || opts.confirmedAgeMs > pacing.askAgeMs;
  return isUrgent && opts.now >= pacing.earliestAt;
}
