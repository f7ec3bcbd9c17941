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
  /** Reads the catalog as it is after the call; false when that fails. */
  readCatalog(): Promise<boolean>;
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
    if (isLeaving()) return { kind: "leaving" };
    if (this.#lacksPoolOf(chain)) await this.#deps.readCatalog();
    const catalog = this.#deps.catalog()?.version;
    if (this.#lacksPoolOf(chain)) {
      const reason = "the owner of the stages has an older configuration";
      return { kind: "refused", reason, isBehind: true, catalog };
    }
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

  /** True when the sender's newer catalog has a pool that this one lacks. */
  #lacksPoolOf({ stages, catalog: sent }: StageChain): boolean {
    const catalog = this.#deps.catalog();
    if (sent === undefined || sent <= (catalog?.version ?? 0)) return false;
    return stages.some(({ pool }) => !catalog?.pool(pool)?.batch);
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
