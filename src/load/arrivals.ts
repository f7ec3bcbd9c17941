/**
 * Open-loop arrivals: the schedule is fixed before the run, so that slow
 * answers do not delay later requests.
 *
 * @module
 */

import { seededRandom } from "../kernel/mod.ts";
import type { LoadSettings } from "./settings.ts";

/** One planned request. */
export interface Arrival {
  /** Time after the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly marker: string;
  readonly key: string;
  readonly customer: LoadSettings["customers"][number];
  readonly work: LoadSettings["mix"][number];
}

const MS_PER_S = 1000;

/** Plans Poisson arrivals over the length of the run. */
export function planArrivals(cfg: LoadSettings): readonly Arrival[] {
  const random = seededRandom(cfg.seed);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (true) {
    atMs += -Math.log(1 - random()) / cfg.ratePerS * MS_PER_S;
    if (atMs >= cfg.durationS * MS_PER_S) return arrivals;
    const marker = `m${cfg.seed}-${arrivals.length}`;
    arrivals.push({
      atMs,
      marker,
      key: `k-${marker}`,
      customer: pickWeighted(cfg.customers, random()),
      work: pickWeighted(cfg.mix, random()),
    });
  }
}

function pickWeighted<T extends { weight: number }>(
  items: readonly T[],
  at: number,
): T {
  const total = items.reduce((sum, { weight }) => sum + weight, 0);
  let left = at * total;
  const found = items.find(({ weight }) => (left -= weight) < 0);
  return found ?? items.at(-1) as T;
}
