/**
 * Shares of the targets of a group of stage pools. One owner forms the fullest
 * calls, but all chains of the fleet cost it processor time; so a group is cut
 * into as few shares as its owners can carry. A chain runs inside one share.
 *
 * @module
 */

import type { BatchLimits } from "./catalog.ts";
import { expectedCallMs } from "./stage_targets.ts";
import type { ListedTarget } from "./state_change.ts";

/** One share, numbered from 0, of `count`. */
export interface StageShard {
  readonly index: number;
  readonly count: number;
}

/** The only share of a group that is not cut. */
export const WHOLE_GROUP: StageShard = { index: 0, count: 1 };

/** Most shares of a group. */
export const MAX_SHARDS = 16;

/**
 * Processor time of an owner for one call, with its part of the chains that the
 * call serves, in core milliseconds.
 */
const CALL_CORE_MS = 6.5;
/** Processor time of an entry that owns nothing, in cores. */
const BASE_CORES = 0.05;
/** Share of the rest that its work as an owner may take. */
const OWNER_SHARE = 0.6;
const MS_PER_S = 1_000;

/** A pool of a group. */
export interface ShardedPool {
  readonly limits: BatchLimits;
  /** Number of its targets. */
  readonly targets: number;
}

/**
 * Number of shares of a group; `capacities` are those of the entries, in cores,
 * the largest first. Each share has a target of each pool.
 */
export function shardCountOf(
  pools: readonly ShardedPool[],
  capacities: readonly (number | undefined)[],
): number {
  const cores = pools.reduce((sum, pool) => sum + coresOf(pool), 0);
  const most = Math.min(
    MAX_SHARDS,
    capacities.length,
    ...pools.map(({ targets }) => targets),
  );
  for (let count = 1; count < most; count++) {
    // The last owner is the one with the least processor time.
    const capacity = capacities[count - 1] ?? Number.POSITIVE_INFINITY;
    const spareCores = Math.max(0, capacity - BASE_CORES);
    if (cores / count <= spareCores * OWNER_SHARE) return count;
  }
  return Math.max(1, most);
}

/** Processor time for the calls of a busy pool, in cores. */
function coresOf({ limits, targets }: ShardedPool): number {
  const callsPerS = targets * limits.slots * MS_PER_S /
    expectedCallMs(limits, limits.maxPieces);
  return callsPerS * CALL_CORE_MS / MS_PER_S;
}

/**
 * Returns the targets of one share of a pool. Targets of a failure domain stay
 * together as far as possible, and few change their share when one is added or
 * removed.
 */
export function targetsOfShard(
  targets: readonly ListedTarget[],
  { index, count }: StageShard,
): readonly ListedTarget[] {
  if (count === 1) return targets;
  const keyOf = ({ failureDomain, id }: ListedTarget) =>
    `${failureDomain} ${id}`;
  return targets
    .toSorted((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1))
    .filter((_, i) => Math.floor(i * count / targets.length) === index);
}
