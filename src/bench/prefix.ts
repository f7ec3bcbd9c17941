/**
 * Experiment: requests share documents as prompt prefixes; there are more
 * documents than the cache of one engine holds.
 *
 * @module
 */

import type { Experiment, ExperimentReport } from "./experiment.ts";
import { loadOrganisations, runVariants, type VariantRun } from "./harness.ts";
import { ASK, POOLS, SMALL_TESTBED } from "./workload.ts";
import type { TestbedPlan } from "./testbed.ts";

const RATE_PER_S = 20;
const DURATION_S = 20;
const WARM_UP_S = 8;
const DOCUMENTS = { count: 60, chars: 2_048 };
/** Blocks of 64 characters; one engine caches a quarter of the documents. */
const CACHE_BLOCKS = 512;
/** Slow enough that a prompt without a cached prefix takes clearly longer. */
const PREFILL_TOKENS_PER_MS = 10;

const PLAN: TestbedPlan = {
  ...SMALL_TESTBED,
  pools: POOLS.map((pool) =>
    pool.name === "models"
      ? {
        ...pool,
        engine: {
          cacheBlocks: CACHE_BLOCKS,
          prefillTokensPerMs: PREFILL_TOKENS_PER_MS,
        },
      }
      : pool
  ),
};

const LOAD = {
  organisations: loadOrganisations(PLAN),
  mix: [{ pipeline: ASK.name, weight: 1, deadlineMs: 4_000, files: false }],
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
  documents: DOCUMENTS,
};

/** Compares the share of prompt tokens found in the engines' caches. */
export const prefix: Experiment = {
  name: "prefix",
  summary: "share of prompt tokens found in the engines' caches",
  async run({ seed }): Promise<ExperimentReport> {
    const runs = await runVariants({
      plan: PLAN,
      load: LOAD,
      warmUp: { ...LOAD, durationS: WARM_UP_S },
    }, { seed });
    return {
      experiment: "prefix",
      seed,
      policy: runs.policy.figures,
      baseline: runs.baseline.figures,
      policy_cache: figuresOf(runs.policy),
      baseline_cache: figuresOf(runs.baseline),
    };
  },
};

function figuresOf({ running }: VariantRun) {
  const engines = running.testbed.targets.flatMap(({ engine }) => engine ?? []);
  const sum = (read: (engine: typeof engines[number]) => number) =>
    engines.reduce((total, engine) => total + read(engine), 0);
  const completions = engines.map(({ counts }) => counts.completions);
  return {
    cache_hit_share: sum(({ counts }) => counts.cachedTokens) /
      Math.max(1, sum(({ counts }) => counts.promptTokens)),
    /** Completions at the busiest engine as a multiple of the mean. */
    imbalance: Math.max(...completions) * engines.length /
      Math.max(1, sum(({ counts }) => counts.completions)),
  };
}
