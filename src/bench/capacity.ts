/**
 * Measures the capacity of the engines of a simulation by keeping the batch of
 * one engine full.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { Engine } from "../standin/mod.ts";
import { DEFAULT_ENGINE } from "../standin/mod.ts";
import type { SimulationPlan } from "./simulation.ts";

const MEASURE_MS = 20_000;

/**
 * Returns the completions per second, each of `tokens` tokens, that all engines
 * of the plan sustain together: the measured rate of one engine times their
 * number.
 */
export async function measureCapacity(
  plan: SimulationPlan,
  opts: { tokens: number; seed: number },
): Promise<number> {
  const cfg = { ...DEFAULT_ENGINE, ...plan.engine, warmAfter: 0 };
  const engine = new Engine(cfg, opts.seed);
  const startedAt = monotonicMs();
  const worker = async (index: number) => {
    for (let i = 0; monotonicMs() - startedAt < MEASURE_MS; i += 1) {
      const tokens = engine.complete({
        prompt: `Capacity ${index}, ${i}`,
        maxTokens: opts.tokens,
      }, new AbortController().signal);
      for await (const _ of tokens ?? []);
    }
  };
  await Promise.all(Array.from({ length: cfg.maxBatch }, (_, i) => worker(i)));
  const elapsedMs = monotonicMs() - startedAt;
  return engine.counts.completions / elapsedMs * 1000 * plan.engines;
}
