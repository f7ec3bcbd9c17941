/**
 * Estimate of a duration from samples: a moving mean and mean deviation, as in
 * the retransmission timer of TCP (RFC 6298).
 *
 * @module
 */

/** Estimate of a duration. Times are in milliseconds. */
export interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
  /** Slow minimum: the usual duration at little load. */
  readonly baseMs: number;
  /** Monotonic time of the last sample. */
  readonly at: number;
}

const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
/** Share of a faster sample that the base takes over. */
const BASE_FALL = 0.5;
/** Share of a slower sample that the base takes over. */
const BASE_RISE = 0.001;
/** Time in which an estimate without new samples halves, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Time for which an estimate is taken as it is, in milliseconds. */
const FRESH_MS = 2_000;

/** Estimate with one more sample. */
export function addSample(
  estimate: Estimate | undefined,
  ms: number,
  now: number,
): Estimate {
  if (!estimate) {
    return { meanMs: ms, deviationMs: ms / 2, baseMs: ms, at: now };
  }
  const { meanMs, deviationMs, baseMs } = estimate;
  const error = Math.abs(ms - meanMs);
  const baseGain = ms < baseMs ? BASE_FALL : BASE_RISE;
  return {
    meanMs: meanMs + MEAN_GAIN * (ms - meanMs),
    deviationMs: deviationMs + DEVIATION_GAIN * (error - deviationMs),
    baseMs: baseMs + baseGain * (ms - baseMs),
    at: now,
  };
}

/**
 * Mean plus deviation at `now`. It decays without samples, so that an estimate
 * that refuses everything is tried again after some time.
 */
export function likelyMs(estimate: Estimate | undefined, now: number): number {
  if (!estimate) return 0;
  return (estimate.meanMs + estimate.deviationMs) * trust(estimate, now);
}

/** Mean at `now`, decayed like {@linkcode likelyMs}. */
export function meanMs(estimate: Estimate | undefined, now: number): number {
  return estimate ? estimate.meanMs * trust(estimate, now) : 0;
}

function trust(estimate: Estimate, now: number): number {
  const staleMs = Math.max(0, now - estimate.at - FRESH_MS);
  return 0.5 ** (staleMs / HALF_LIFE_MS);
}
