/**
 * Capacity of the engines of a lab, measured by keeping every batch full.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { Engine } from "../standin/mod.ts";
import { DEFAULT_ENGINE } from "../standin/mod.ts";
import type { LabPlan } from "./lab.ts";

const MEASURE_MS = 20_000;

/** Completions a second of all engines of the plan, each of `tokens` tokens. */
export async function measureCapacity(
  plan: LabPlan,
  opts: { tokens: number; seed: number },
): Promise<number> {
  const cfg = { ...DEFAULT_ENGINE, ...plan.engine, warmAfter: 0 };
  const engine = new Engine(cfg, opts.seed);
  const startedAt = monotonicMs();
  const worker = async (name: number) => {
    for (let i = 0; monotonicMs() - startedAt < MEASURE_MS; i += 1) {
      const tokens = engine.complete({
        prompt: `Capacity ${name}, ${i}`,
        maxTokens: opts.tokens,
      }, new AbortController().signal);
      for await (const _ of tokens ?? []);
    }
  };
  await Promise.all(Array.from({ length: cfg.maxBatch }, (_, i) => worker(i)));
  const ranMs = monotonicMs() - startedAt;
  return engine.counts.completions / ranMs * 1000 * plan.engines;
}
