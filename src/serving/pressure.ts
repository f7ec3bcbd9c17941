/**
 * Share of the newest requests that were refused. Without refusals no request
 * yields. The higher the share, the shorter the wait at which small requests
 * are refused: a slot costs as much for a short response as for a long one.
 *
 * @module
 */

/** Smoothing factor of the moving average of refused requests. */
const REFUSED_SMOOTHING = 0.05;
/** Refused share at which small requests yield the most. */
const FULL_PRESSURE = 0.25;
/** Largest reduction of the wait, as a share, for the smallest requests. */
const MAX_YIELD = 0.5;

/** Moving average of the share of refused requests. Immutable. */
export class Pressure {
  readonly #refusedShare: number;

  constructor(refusedShare = 0) {
    this.#refusedShare = refusedShare;
  }

  /** Share of the newest requests that were refused. */
  get refusedShare(): number {
    return this.#refusedShare;
  }

  /** Returns the pressure after one more request. */
  observe(isRefused: boolean): Pressure {
    const before = this.#refusedShare;
    return new Pressure(
      before + REFUSED_SMOOTHING * (Number(isRefused) - before),
    );
  }

  /**
   * Returns the factor, at most 1, by which to multiply the longest wait at
   * which a request is admitted; `sizeRank` is the share of its route's
   * requests that are smaller.
   */
  waitShare(sizeRank: number): number {
    const pressure = Math.min(1, this.#refusedShare / FULL_PRESSURE);
    return 1 - MAX_YIELD * pressure * (1 - sizeRank);
  }
}
