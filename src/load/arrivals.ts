/**
 * Open-loop arrivals: the schedule is fixed before the run, so that slow
 * responses do not delay later requests.
 *
 * @module
 */

import { seededRandom } from "../kernel/mod.ts";
import type { LoadSettings } from "./settings.ts";

/** A planned request. */
export interface Arrival {
  /** Time from the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly marker: string;
  readonly key: string;
  readonly organisation: LoadSettings["organisations"][number];
  readonly workload: LoadSettings["mix"][number];
  /** Document that the request shares with others as a prompt prefix. */
  readonly document?: string;
}

const MS_PER_S = 1000;

/** Plans Poisson arrivals, with optional bursts, for the length of the run. */
export function planArrivals(cfg: LoadSettings): readonly Arrival[] {
  const random = seededRandom(cfg.seed);
  const peak = cfg.bursts?.factor ?? 1;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (true) {
    // Thinning: draws arrivals at the peak rate and keeps each with a
    // probability of its current rate over the peak rate.
    atMs += -Math.log(1 - random()) / (cfg.ratePerS * peak) * MS_PER_S;
    if (atMs >= cfg.durationS * MS_PER_S) return arrivals;
    if (peak > 1 && random() >= factorAt(cfg, atMs) / peak) continue;
    const marker = `m${cfg.seed}-${arrivals.length}`;
    arrivals.push({
      atMs,
      marker,
      key: `k-${marker}`,
      organisation: pickWeighted(cfg.organisations, random()),
      workload: pickWeighted(cfg.mix, random()),
      document: pickDocument(cfg, random),
    });
  }
}

/** Returns the rate at a time as a multiple of the rate outside bursts. */
function factorAt({ bursts }: LoadSettings, atMs: number): number {
  if (!bursts) return 1;
  const offsetMs = atMs % (bursts.everyS * MS_PER_S);
  return offsetMs < bursts.lengthS * MS_PER_S ? bursts.factor : 1;
}

/** Draws one of the shared documents, all of the configured length. */
function pickDocument(
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
  draw: number,
): T {
  const total = items.reduce((sum, { weight }) => sum + weight, 0);
  let left = draw * total;
  const found = items.find(({ weight }) => (left -= weight) < 0);
  return found ?? items.at(-1) as T;
}
