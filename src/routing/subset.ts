/**
 * Deterministic subsetting: selects the targets of a pool whose load an entry
 * tracks and to which it keeps connections.
 *
 * Every entry computes the same assignment from the same membership, without
 * coordination over the network. Rendezvous hashing with bounded loads balances
 * the number of entries per target, and a membership change moves few
 * assignments. Subsetting has no benefit for a pool that every entry can track
 * as a whole: a subset as large as the pool is the pool.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { DomainName, Target, TargetId } from "../model/mod.ts";
import { compareText, hashOf, rendezvousOrder } from "./hash.ts";

/** An entry and its failure domain. */
export interface EntryLocation {
  readonly name: string;
  readonly domain: DomainName;
}

/** Number of targets of each pool in an entry's subset. */
export interface SubsetSize {
  /** Targets in the entry's own failure domain. */
  readonly local: number;
  /** Targets in each other failure domain. */
  readonly remote: number;
}

/**
 * Default size: several targets to choose from in the entry's own failure
 * domain and a fallback in each other one.
 */
export const DEFAULT_SUBSET: SubsetSize = { local: 6, remote: 2 };

/** Largest pool without subsets, so that small deployments use all targets. */
const MAX_FULL_POOL_SIZE = 16;
/** Bound on the entries of one target, as a multiple of the mean. */
const CAPACITY_FACTOR = 1.1;
const ORDER_SEED = 7;

/** Entries and sizes that the assignment depends on. */
export interface SubsetOptions {
  /** The entry whose subset is computed. */
  readonly self: EntryLocation;
  /** All known entries, with or without `self`. */
  readonly entries: readonly EntryLocation[];
  readonly size?: SubsetSize;
}

/** Returns the entry's subset of the targets of one pool. */
export function subsetOf(
  targets: readonly Target[],
  opts: SubsetOptions,
): readonly Target[] {
  if (targets.length <= MAX_FULL_POOL_SIZE) return targets;
  const { self, size = DEFAULT_SUBSET } = opts;
  const entries = withSelf(opts.entries, self);
  const domains = [...new Set(targets.map(({ domain }) => domain))];
  return domains.flatMap((domain) => {
    const isLocal = domain === self.domain;
    const competitors = entries.filter((entry) =>
      (entry.domain === domain) === isLocal
    );
    return assign(competitors, {
      targets: targets.filter((target) => target.domain === domain),
      want: isLocal ? size.local : size.remote,
    }).get(self.name) ?? [];
  });
}

/**
 * Returns the bound on the number of entries whose subsets share a target. The
 * last entries in the order of assignment may exceed it.
 */
export function maxEntriesPerTarget(
  opts: { entries: number; targets: number; want: number },
): number {
  const mean = opts.entries * opts.want / opts.targets;
  return Math.max(1, Math.ceil(mean * CAPACITY_FACTOR));
}

/** Assigns `want` targets to every entry, with bounded entries per target. */
function assign(
  entries: readonly EntryLocation[],
  opts: { targets: readonly Target[]; want: number },
): ReadonlyMap<string, readonly Target[]> {
  const want = Math.min(opts.want, opts.targets.length);
  const bound = maxEntriesPerTarget({
    entries: entries.length,
    targets: opts.targets.length,
    want,
  });
  const entryCounts = new Map<TargetId, number>();
  const assigned = new Map<string, readonly Target[]>();
  inAssignmentOrder(entries).forEach(({ name }) => {
    const chosen = assignOne(opts.targets, { name, want, bound, entryCounts });
    chosen.forEach(({ id }) =>
      entryCounts.set(id, (entryCounts.get(id) ?? 0) + 1)
    );
    assigned.set(name, chosen);
  });
  return assigned;
}

function assignOne(
  targets: readonly Target[],
  { name, want, bound, entryCounts }: {
    name: string;
    want: number;
    bound: number;
    entryCounts: ReadonlyMap<TargetId, number>;
  },
): readonly Target[] {
  const ranked = rendezvousOrder(targets, { key: name, idOf: ({ id }) => id });
  const isBelowBound = ({ id }: Target) => (entryCounts.get(id) ?? 0) < bound;
  const available = ranked.filter(isBelowBound).slice(0, want);
  // The last entries in order may find fewer targets below the bound than
  // they need; they then exceed it.
  const full = ranked.filter((target) => !isBelowBound(target));
  const chosen = [...available, ...full.slice(0, want - available.length)];
  invariant(
    chosen.length === want,
    "subset-complete",
    () => `entry=${name} chosen=${chosen.length} want=${want}`,
  );
  return chosen;
}

/** Sorts by the hash of the name, so that its spelling gives no advantage. */
function inAssignmentOrder(
  entries: readonly EntryLocation[],
): readonly EntryLocation[] {
  return entries
    .map((entry) => ({ entry, at: hashOf(entry.name, ORDER_SEED) }))
    .sort((a, b) => a.at - b.at || compareText(a.entry.name, b.entry.name))
    .map(({ entry }) => entry);
}

function withSelf(
  entries: readonly EntryLocation[],
  self: EntryLocation,
): readonly EntryLocation[] {
  return entries.some(({ name }) => name === self.name)
    ? entries
    : [...entries, self];
}
