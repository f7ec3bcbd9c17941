/**
 * Owners of the groups of stage pools. One entry owns a group, so that a single
 * process sees all the work of its pools.
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
import type { Catalog, ListedPeer } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";

/** Entries after the owners that keep watch on those before them. */
const STANDBY_OWNERS = 2;
/**
 * Time for which an entry keeps watch on those before it after it was asked to
 * take their place, in milliseconds.
 */
const DOUBT_MS = 5_000;

/** What owners are determined by. */
export interface OwnerDeps {
  readonly self: ListedPeer;
  /** All entries, this one included, in the order of their registrations. */
  entries(): readonly ListedPeer[];
  isUsable(peer: ListedPeer): boolean;
  catalog(): Catalog | undefined;
  readonly log: Logger;
}

/** Determines the owners. */
export class StageOwners {
  readonly #deps: OwnerDeps;
  /** Last known owner of each group. */
  readonly #owners = new Map<string, string>();
  #doubtUntil = 0;

  constructor(deps: OwnerDeps) {
    this.#deps = deps;
  }

  /** Owner of a group of pools; undefined when it is this process. */
  ownerOf(group: string): ListedPeer | undefined {
    const { isUsable, self } = this.#deps;
    const usable = this.#order().filter((peer) => isUsable(peer));
    const index = Math.max(0, this.#groups.indexOf(group));
    const owner = usable[index % Math.max(1, usable.length)];
    this.#record(group, owner?.name ?? self.name);
    return owner?.name === self.name ? undefined : owner;
  }

  /**
   * Decides on a chain that a peer has sent: undefined when this process runs
   * it, else the owner by this process's view. From then on it keeps watch on
   * the entries before it, which the peer may have found silent.
   */
  otherOwnerOf(group: string): ListedPeer | undefined {
    const owner = this.ownerOf(group);
    if (owner) this.#doubtUntil = monotonicMs() + DOUBT_MS;
    return owner;
  }

  /** Peers on which this process keeps watch. */
  watched(): readonly ListedPeer[] {
    const order = this.#order();
    const rank = order.findIndex(({ name }) => name === this.#deps.self.name);
    const isStandby = rank < this.#groups.length + STANDBY_OWNERS;
    const isDoubting = monotonicMs() < this.#doubtUntil;
    return isStandby || isDoubting ? order.slice(0, rank) : [];
  }

  /** Peers that come before the owners and are not usable. */
  unusable(): readonly ListedPeer[] {
    const { isUsable } = this.#deps;
    const order = this.#order();
    const usable = order.filter((peer) => isUsable(peer));
    const last = usable[Math.min(this.#groups.length, usable.length) - 1];
    const until = last ? order.indexOf(last) : order.length;
    return order.slice(0, until).filter((peer) => !isUsable(peer));
  }

  get #groups(): readonly string[] {
    return this.#deps.catalog()?.stageGroups ?? [];
  }

  #order(): readonly ListedPeer[] {
    return this.#deps.entries()
      .toSorted((a, b) => (b.capacity ?? 0) - (a.capacity ?? 0));
  }

  #record(group: string, owner: string): void {
    if (this.#owners.get(group) === owner) return;
    this.#owners.set(group, owner);
    const { entries, isUsable, log } = this.#deps;
    const passed = this.#order().filter((peer) => !isUsable(peer))
      .map(({ name }) => name).slice(0, 8).join(",");
    log.info("stage_owner_changed", {
      group,
      owner,
      passed,
      entries: entries().length,
    });
  }
}
