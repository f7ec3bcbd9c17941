/**
 * Serves the chains of stages that peers send to this process as their owner.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { type Catalog, WHOLE_GROUP } from "../serving/mod.ts";
import type { ChainResponse, StageChain } from "../wire/mod.ts";
import type { ShardRunners } from "./shard_runners.ts";
import type { StageOwners } from "./stage_owners.ts";

/** Services that it uses. */
export interface ChainServiceDeps {
  readonly runner: Pick<ShardRunners, "run">;
  readonly owners: Pick<StageOwners, "otherOwnerOf">;
  catalog(): Catalog | undefined;
  /** True once this process accepts no further chains. */
  isLeaving(): boolean;
}

/** Runs or declines chains of peers. */
export class ChainService {
  readonly #deps: ChainServiceDeps;

  constructor(deps: ChainServiceDeps) {
    this.#deps = deps;
  }

  async run(chain: StageChain, gone: AbortSignal): Promise<ChainResponse> {
    const { runner, isLeaving } = this.#deps;
    const catalog = this.#deps.catalog()?.version;
    if (isLeaving()) return { kind: "leaving" };
    const owner = chain.mayDecline ? this.#otherOwnerOf(chain) : undefined;
    if (owner !== undefined) {
      const reason = "another entry owns the stages";
      return { kind: "refused", reason, owner, catalog };
    }
    const startedAt = monotonicMs();
    const response = await runner.run(chain, gone);
    return response.kind === "leaving"
      ? response
      : { ...response, heldMs: monotonicMs() - startedAt, catalog };
  }

  #otherOwnerOf(
    { stages, shard = WHOLE_GROUP }: StageChain,
  ): string | undefined {
    const { catalog, owners } = this.#deps;
    const pool = stages[0]?.pool;
    const group = pool && catalog()?.groupOfPool(pool);
    return group ? owners.otherOwnerOf(group, shard)?.name : undefined;
  }
}
