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
  readonly organisation: LoadSettings["organisations"][number];
  readonly work: LoadSettings["mix"][number];
  /** Text that the request shares with others. */
  readonly document?: string;
}

const MS_PER_S = 1000;

/** Plans Poisson arrivals, with bursts, over the length of the run. */
export function planArrivals(cfg: LoadSettings): readonly Arrival[] {
  const random = seededRandom(cfg.seed);
  const peak = cfg.bursts?.factor ?? 1;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (true) {
    // Thinning: draws at the highest rate, kept by the rate of the moment.
    atMs += -Math.log(1 - random()) / (cfg.ratePerS * peak) * MS_PER_S;
    if (atMs >= cfg.durationS * MS_PER_S) return arrivals;
    if (peak > 1 && random() >= factorAt(cfg, atMs) / peak) continue;
    const marker = `m${cfg.seed}-${arrivals.length}`;
    arrivals.push({
      atMs,
      marker,
      key: `k-${marker}`,
      organisation: pickWeighted(cfg.organisations, random()),
      work: pickWeighted(cfg.mix, random()),
      document: documentAt(cfg, random),
    });
  }
}

/** Arrivals at a time as a multiple of the mean rate outside bursts. */
function factorAt({ bursts }: LoadSettings, atMs: number): number {
  if (!bursts) return 1;
  const intoMs = atMs % (bursts.everyS * MS_PER_S);
  return intoMs < bursts.lengthS * MS_PER_S ? bursts.factor : 1;
}

/** One of the shared documents; each is as long as the settings say. */
function documentAt(
  { documents }: LoadSettings,
  random: () => number,
): string | undefined {
  if (!documents) return undefined;
  const sentence = `Document ${Math.floor(random() * documents.count)}. `;
  return sentence.repeat(Math.ceil(documents.chars / sentence.length))
    .slice(0, documents.chars);
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
