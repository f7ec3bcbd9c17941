/**
 * Usual time from sending a request to the first bytes of its answer.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { addSample, type Estimate } from "../telemetry/mod.ts";

/** Time that is assumed until the first answer, in milliseconds. */
const INITIAL_MS = 200;

/** Estimates by route. */
export class OwnTimes {
  readonly #estimates = new Map<string, Estimate>();

  add(route: string, ms: number): void {
    this.#estimates.set(
      route,
      addSample(this.#estimates.get(route), ms, monotonicMs()),
    );
  }

  /** Usual time in milliseconds. */
  of(route: string): number {
    return this.#estimates.get(route)?.meanMs ?? INITIAL_MS;
  }
}
