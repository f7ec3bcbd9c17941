/**
 * Usual times of complete responses, from which a stopping process decides
 * whether it can still serve a request.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Route } from "../serving/mod.ts";
import { addSample, type Estimate } from "../telemetry/mod.ts";

/** Multiple of the mean to which a sample is capped: one outlier stays one. */
const MAX_RATIO = 4;

type TimedRoute = Pick<Route, "name" | "latencyGoalMs">;

/** Times of one complete response, in milliseconds. */
export interface ResponseSample {
  /** From the time at which the whole request was read. */
  readonly totalMs: number;
  /** From the sending of the request to the target that responded. */
  readonly attemptMs: number;
}

/** Estimated times of complete responses, by route. */
export class ResponseTimes {
  readonly #totals = new Map<string, Estimate>();
  readonly #attempts = new Map<string, Estimate>();

  observe({ name }: TimedRoute, { totalMs, attemptMs }: ResponseSample): void {
    addCapped(this.#totals, name, totalMs);
    addCapped(this.#attempts, name, attemptMs);
  }

  /**
   * Time within which most requests of a route are answered once they were
   * read, in milliseconds; the latency goal while no response was seen.
   */
  totalMs({ name, latencyGoalMs }: TimedRoute): number {
    return usualMs(this.#totals.get(name)) ?? latencyGoalMs;
  }

  /** The same from the sending to a target. */
  attemptMs({ name, latencyGoalMs }: TimedRoute): number {
    return usualMs(this.#attempts.get(name)) ?? latencyGoalMs;
  }
}

function addCapped(
  estimates: Map<string, Estimate>,
  name: string,
  ms: number,
): void {
  const estimate = estimates.get(name);
  const cappedMs = estimate ? Math.min(ms, MAX_RATIO * estimate.meanMs) : ms;
  estimates.set(name, addSample(estimate, cappedMs, monotonicMs()));
}

function usualMs(estimate: Estimate | undefined): number | undefined {
  return estimate && estimate.meanMs + estimate.deviationMs;
}
