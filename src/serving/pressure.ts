/**
 * How many of the newest requests had to be refused. While all can be served
 * none needs to yield; the more are refused, the sooner the smallest ones
 * yield: a place costs as much for a short answer as for a long one.
 *
 * @module
 */

/** Gain of the moving share of refused requests. */
const REFUSED_GAIN = 0.05;
/** Refused share from which on small requests yield the most. */
const FULL_PRESSURE = 0.25;
/** Most by which the smallest requests yield, as a share of the wait. */
const MAX_YIELD = 0.5;

/** Moving share of refused requests. Immutable. */
export class Pressure {
  readonly #refusedShare: number;

  constructor(refusedShare = 0) {
    this.#refusedShare = refusedShare;
  }

  /** Pressure after one more request. */
  note(isRefused: boolean): Pressure {
    const before = this.#refusedShare;
    return new Pressure(before + REFUSED_GAIN * (Number(isRefused) - before));
  }

  /**
   * Share of the longest wait with which a request is still taken; `sizeRank`
   * is the share of its route's requests that are smaller.
   */
  waitShare(sizeRank: number): number {
    const pressure = Math.min(1, this.#refusedShare / FULL_PRESSURE);
    return 1 - MAX_YIELD * pressure * (1 - sizeRank);
  }
}
