/**
 * Owners of the groups of stage pools. One entry owns a share of a group, so that
 * a single process sees all the work of the share's targets.
 *
 * The order of the entries decides: the most capable ones first, of these the
 * ones that registered first, so that ownership changes when an owner ends, and
 * not again when it returns. Load makes no owner: an entry accepts a chain only
 * if by its own view it is the group's owner, and names the owner otherwise. Its
 * view counts because it keeps watch on the entries before it.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  type FleetState,
  type ListedPeer,
  shardCountOf,
  type ShardedPool,
  type StageShard,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Entries after the owners that keep watch on those before them. */
const STANDBY_OWNERS = 2;
/**
 * Time for which an entry keeps watch on those before it after it was asked to
 * take their place, in milliseconds.
 */
const DOUBT_MS = 5_000;

/** Time for which a number of shares is not calculated again, in ms. */
const COUNT_TTL_MS = 500;

/** What owners are determined by. */
export interface OwnerDeps {
  readonly self: ListedPeer;
  /** All entries, this one included, in the order of their registrations. */
  entries(): readonly ListedPeer[];
  isUsable(peer: ListedPeer): boolean;
  state(): FleetState;
  readonly log: Logger;
}

/** Determines the owners. */
export class StageOwners {
  readonly #deps: OwnerDeps;
  /** Last known owner of each share. */
  readonly #owners = new Map<string, string>();
  readonly #counts = new Map<string, { count: number; until: number }>();
  /** Entries as last sorted. */
  #ordered: {
    readonly entries: readonly ListedPeer[];
    readonly order: readonly ListedPeer[];
  } = { entries: [], order: [] };
  #doubtUntil = 0;

  constructor(deps: OwnerDeps) {
    this.#deps = deps;
  }

  /** Number of shares into which the targets of a group are cut. */
  shardCount(group: string): number {
    const now = monotonicMs();
    const known = this.#knownCount(group, now);
    if (known !== undefined) return known;
    const count = this.#countShards(group, now);
    this.#counts.set(group, { count, until: now + COUNT_TTL_MS });
    return count;
  }

  /** Owners of the shares of a group as of now; records and logs nothing. */
  inspect(group: string): readonly ListedPeer[] {
    const now = monotonicMs();
    const countOf = (one: string) =>
      this.#knownCount(one, now) ?? this.#countShards(one, now);
    const count = countOf(group);
    return Array.from(
      { length: count },
      (_, index) => this.#determineOwner(group, { index, count }, countOf),
    );
  }

  #knownCount(group: string, now: number): number | undefined {
    const known = this.#counts.get(group);
    return known && now < known.until ? known.count : undefined;
  }

  #countShards(group: string, now: number): number {
    const state = this.#deps.state();
    const pools = state.catalog?.poolsOfGroup(group) ?? [];
    const sharded = pools.map(({ name, batch }): ShardedPool => ({
      limits: batch,
      targets: state.usable(name, now).length,
    }));
    const capacities = this.#order().map(({ capacity }) => capacity);
    return shardCountOf(sharded, capacities);
  }

  /**
   * Owner of a share of a group of pools; undefined when it is this process.
   */
  ownerOf(group: string, shard: StageShard): ListedPeer | undefined {
    const owner = this.#determineOwner(
      group,
      shard,
      (one) => this.shardCount(one),
    );
    this.#record(`${group} ${shard.index}/${shard.count}`, owner.name);
    return owner.name === this.#deps.self.name ? undefined : owner;
  }

  /**
   * Determines the owner of a share. One that is not usable is replaced by the
   * first entry that owns nothing, so that the other owners stay.
   */
  #determineOwner(
    group: string,
    shard: StageShard,
    countOf: (group: string) => number,
  ): ListedPeer {
    const { isUsable } = this.#deps;
    const order = this.#order();
    const { first, total } = this.#placesOf(group, shard.count, countOf);
    const place = first + shard.index;
    const owners = order.slice(0, total);
    const spare = order.slice(total).filter((peer) => isUsable(peer));
    const lost = owners.filter((peer) => !isUsable(peer));
    const primary = owners[place];
    return primary && isUsable(primary)
      ? primary
      : spare[lost.findIndex((peer) => peer === primary)] ??
        this.#anyUsable(place);
  }

  /** A usable entry when there are too few for all places. */
  #anyUsable(place: number): ListedPeer {
    const { isUsable, self } = this.#deps;
    const usable = this.#order().filter((peer) => isUsable(peer));
    return usable[place % Math.max(1, usable.length)] ?? self;
  }

  /** Places in the order of the entries that the shares of a group have. */
  #placesOf(
    group: string,
    count: number,
    countOf: (group: string) => number,
  ): { readonly first: number; readonly total: number } {
    const groups = this.#groups;
    const counts = groups.map((one) => one === group ? count : countOf(one));
    const sum = (numbers: readonly number[]) =>
      numbers.reduce((total, one) => total + one, 0);
    const first = sum(counts.slice(0, Math.max(0, groups.indexOf(group))));
    return { first, total: Math.max(1, sum(counts)) };
  }

  /**
   * Decides on a chain that a peer has sent: undefined when this process runs
   * it, else the owner by this process's view. From then on it keeps watch on
   * the entries before it, which the peer may have found silent.
   */
  otherOwnerOf(group: string, shard: StageShard): ListedPeer | undefined {
    const owner = this.ownerOf(group, shard);
    if (owner) this.#doubtUntil = monotonicMs() + DOUBT_MS;
    return owner;
  }

  /** Peers on which this process keeps watch. */
  watched(): readonly ListedPeer[] {
    const order = this.#order();
    const rank = order.findIndex(({ name }) => name === this.#deps.self.name);
    const isStandby = rank < this.#ownerCount + STANDBY_OWNERS;
    const isDoubting = monotonicMs() < this.#doubtUntil;
    return isStandby || isDoubting ? order.slice(0, rank) : [];
  }

  /** Owners, and entries that may replace them, that are not usable. */
  unusable(): readonly ListedPeer[] {
    const { isUsable } = this.#deps;
    return this.#order().slice(0, this.#ownerCount + STANDBY_OWNERS)
      .filter((peer) => !isUsable(peer));
  }

  get #groups(): readonly string[] {
    return this.#deps.state().catalog?.stageGroups ?? [];
  }

  get #ownerCount(): number {
    return this.#groups
      .reduce((sum, group) => sum + this.shardCount(group), 0);
  }

  #order(): readonly ListedPeer[] {
    const entries = this.#deps.entries();
    if (entries !== this.#ordered.entries) {
      const order = entries
        .toSorted((a, b) => (b.capacity ?? 0) - (a.capacity ?? 0));
      this.#ordered = { entries, order };
    }
    return this.#ordered.order;
  }

  #record(share: string, owner: string): void {
    if (this.#owners.get(share) === owner) return;
    this.#owners.set(share, owner);
    const { entries, isUsable, log } = this.#deps;
    const passed = this.#order().filter((peer) => !isUsable(peer))
      .map(({ name }) => name).slice(0, 8).join(",");
    log.info("stage_owner_changed", {
      share,
      owner,
      passed,
      entries: entries().length,
    });
  }
}
