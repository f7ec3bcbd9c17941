/**
 * Estimated time from sending a request to the first bytes of its response.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { addSample, type Estimate } from "../telemetry/mod.ts";

/** Time that is assumed before the first sample, in milliseconds. */
const INITIAL_MS = 200;
/** Multiple of the estimate to which a sample is capped. */
const MAX_RATIO = 2;

/** Estimates of the time to the first byte, by route. */
export class FirstByteTimes {
  readonly #estimates = new Map<string, Estimate>();

  /**
   * Adds a sample. Samples are capped, so that a single long one moves the
   * estimate only a little.
   */
  observe(route: string, ms: number): void {
    const cappedMs = Math.min(ms, MAX_RATIO * this.of(route));
    this.#estimates.set(
      route,
      addSample(this.#estimates.get(route), cappedMs, monotonicMs()),
    );
  }

  /** Estimated time of a route, in milliseconds. */
  of(route: string): number {
    return this.#estimates.get(route)?.meanMs ?? INITIAL_MS;
  }
}
