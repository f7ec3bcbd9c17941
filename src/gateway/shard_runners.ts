/**
 * Runs chains in the shares of the stage pools that this process owns. Each
 * share has a batcher and an admission of its own.
 *
 * @module
 */

import {
  MAX_SHARDS,
  type StageShard,
  targetsOfShard,
  WHOLE_GROUP,
} from "../serving/mod.ts";
import { NO_ROLLOUTS } from "../rollout/mod.ts";
import type { ChainResponse, ChainResults, StageChain } from "../wire/mod.ts";
import { ChainRunner } from "./chain_runner.ts";
import { StageBatcher, type StageBatcherDeps } from "./stage_batcher.ts";

/** Runners by share. */
export class ShardRunners {
  readonly #deps: Omit<StageBatcherDeps, "usable">;
  readonly #runners = new Map<string, ChainRunner>();

  constructor(deps: Omit<StageBatcherDeps, "usable">) {
    this.#deps = deps;
  }

  /** Runs all stages of a chain in its share, or refuses it. */
  async run(chain: StageChain, signal: AbortSignal): Promise<ChainResponse> {
    const { shard = WHOLE_GROUP } = chain;
    const response = await this.#runnerOf(shard).run(chain, signal);
    if (response.kind !== "done") return response;
    const results = response.results.map((one) => ({ ...one, shard }));
    return { ...response, results };
  }

  /** Releases results that have no more readers. */
  release(all: readonly ChainResults[]): void {
    all.forEach((one) =>
      this.#runnerOf(one.shard ?? WHOLE_GROUP).release([one])
    );
  }

  #runnerOf(shard: StageShard): ChainRunner {
    const { index, count } = boundedShard(shard);
    const key = `${index}/${count}`;
    const existing = this.#runners.get(key);
    if (existing) return existing;
    const { state, log, metrics, rollouts = NO_ROLLOUTS } = this.#deps;
    const batcher = new StageBatcher({
      ...this.#deps,
      usable: (pool, now) =>
        rollouts.membersOf(
          pool,
          targetsOfShard(state().usable(pool, now), { index, count }),
        ),
    });
    const created = new ChainRunner({ batcher, state, log, metrics });
    this.#runners.set(key, created);
    return created;
  }
}

/** Keeps the number of runners bounded whatever a peer sends. */
function boundedShard({ index, count }: StageShard): StageShard {
  return count <= MAX_SHARDS && index < count ? { index, count } : WHOLE_GROUP;
}
