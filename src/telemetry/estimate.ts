/**
 * Estimate of a duration from samples: moving averages of the duration and of
 * its deviation, as in the retransmission timer of TCP (RFC 6298).
 *
 * @module
 */

/** Estimate of a duration. Times are in milliseconds. */
export interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
  /**
   * Baseline that follows faster samples quickly and slower ones slowly: the
   * typical duration at low load.
   */
  readonly baseMs: number;
  /** Monotonic time of the last sample. */
  readonly at: number;
}

/** Smoothing factor of the moving average of the duration. */
const MEAN_SMOOTHING = 1 / 8;
/** Smoothing factor of the moving average of the deviation. */
const DEVIATION_SMOOTHING = 1 / 4;
/** Smoothing factor of the baseline for samples below it. */
const BASE_SMOOTHING_DOWN = 0.5;
/** Smoothing factor of the baseline for samples above it. */
const BASE_SMOOTHING_UP = 0.001;
/** Half-life of an estimate that gets no new samples, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Age from which an estimate decays, in milliseconds. */
const DECAY_DELAY_MS = 2_000;

/** Returns the estimate with one more sample. */
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
  const baseSmoothing = ms < baseMs ? BASE_SMOOTHING_DOWN : BASE_SMOOTHING_UP;
  return {
    meanMs: meanMs + MEAN_SMOOTHING * (ms - meanMs),
    deviationMs: deviationMs + DEVIATION_SMOOTHING * (error - deviationMs),
    baseMs: baseMs + baseSmoothing * (ms - baseMs),
    at: now,
  };
}

/**
 * Returns mean plus deviation at `now`. The value decays without samples: an
 * estimate so high that every call is refused gets no samples that could
 * correct it, and has to admit calls again after some time.
 */
export function meanPlusDeviationMs(
  estimate: Estimate | undefined,
  now: number,
): number {
  if (!estimate) return 0;
  return (estimate.meanMs + estimate.deviationMs) * decayFactor(estimate, now);
}

/** Returns the mean at `now`, decayed like {@linkcode meanPlusDeviationMs}. */
export function meanMs(estimate: Estimate | undefined, now: number): number {
  return estimate ? estimate.meanMs * decayFactor(estimate, now) : 0;
}

function decayFactor(estimate: Estimate, now: number): number {
  const staleMs = Math.max(0, now - estimate.at - DECAY_DELAY_MS);
  return 0.5 ** (staleMs / HALF_LIFE_MS);
}
