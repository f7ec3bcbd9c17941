/**
 * Errors of expected times, by pool and priority. Requests with an early due
 * time go ahead of others, so a single error for all would make the expected
 * times of the urgent ones too long and those of the others too short.
 *
 * @module
 */

/** Requests whose expected times have the same error. */
export interface WaitClass {
  /** Pools that the requests pass, joined; one for the wait in that pool. */
  readonly pools: string;
  readonly priority: number;
  /** False for requests that miss their latency goal in any case. */
  readonly isOnTime: boolean;
}

interface MedianError {
  /** Actual time minus expected time, in milliseconds. */
  readonly ms: number;
  /** Mean distance from it, in milliseconds. */
  readonly spreadMs: number;
  readonly at: number;
}

/** Share of an error by which the median moves. */
const MEDIAN_SMOOTHING = 0.1;
/**
 * Bound of the error that moves the median, in milliseconds. Long delays are
 * rarer and larger than short ones, so the mean error is above the median.
 */
const MAX_STEP_MS = 80;
/** Smoothing factor of the spread. */
const SPREAD_SMOOTHING = 0.05;
/**
 * Mean distances from the median that a margin covers. Simulated values from
 * 0.5 to 1.5 serve about the same; 0 has more late requests.
 */
const MARGIN_SPREADS = 1;
/** Bound of the median in both directions, in milliseconds. */
const MAX_ERROR_MS = 500;
/**
 * Half-life of an error without new samples, in milliseconds. Without the
 * decay one large error could refuse every request, so that no new sample would
 * correct it.
 */
const HALF_LIFE_MS = 1_000;

/**
 * Time without samples from which an error decays, in milliseconds: priorities
 * with few requests have pauses of this length between samples.
 */
const FRESH_MS = 1_000;

/** Median errors of the expected times by class. Immutable. */
export class WaitErrors {
  readonly #errors: ReadonlyMap<string, MedianError>;

  constructor(errors: ReadonlyMap<string, MedianError> = new Map()) {
    this.#errors = errors;
  }

  /** Returns what to add to an expected time of this class, in ms. */
  correctionMs(of: WaitClass, now: number): number {
    const known = this.#errors.get(keyOf(of));
    return known ? known.ms * decay(known, now) : 0;
  }

  /**
   * Returns how much longer than expected, after the correction, a request of
   * this class may well take, in milliseconds.
   */
  marginMs(of: WaitClass, now: number): number {
    return MARGIN_SPREADS * this.#spreadMs(of, now);
  }

  /**
   * Returns the state after a request whose actual time exceeded the expected
   * one, without correction, by `errorMs`.
   */
  observe(of: WaitClass, errorMs: number, now: number): WaitErrors {
    const beforeMs = this.correctionMs(of, now);
    const spreadMs = this.#spreadMs(of, now);
    const differenceMs = errorMs - beforeMs;
    const ms = beforeMs +
      MEDIAN_SMOOTHING * clamp(differenceMs, MAX_STEP_MS);
    const next: MedianError = {
      ms: clamp(ms, MAX_ERROR_MS),
      spreadMs: spreadMs +
        SPREAD_SMOOTHING *
          (Math.min(MAX_ERROR_MS, Math.abs(differenceMs)) - spreadMs),
      at: now,
    };
    return new WaitErrors(new Map(this.#errors).set(keyOf(of), next));
  }

  /** Mean distance of the errors from their median, in milliseconds. */
  #spreadMs(of: WaitClass, now: number): number {
    const known = this.#errors.get(keyOf(of));
    return known ? known.spreadMs * decay(known, now) : 0;
  }
}

/** Share of an error that remains without new samples. */
function decay({ at }: MedianError, now: number): number {
  return 0.5 ** (Math.max(0, now - at - FRESH_MS) / HALF_LIFE_MS);
}

function keyOf({ pools, priority, isOnTime }: WaitClass): string {
  return `${priority}/${isOnTime}/${pools}`;
}

function clamp(value: number, bound: number): number {
  return Math.min(bound, Math.max(-bound, value));
}
