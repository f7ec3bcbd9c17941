/**
 * Deterministic subsets: which targets of a pool an entry keeps load and
 * connections of.
 *
 * Every entry computes the same assignment from the same membership, so that
 * nothing is agreed over the network. Rendezvous hashing with bounded loads
 * keeps the number of entries before each target balanced, and a membership
 * change moves few assignments. Do not use it for pools that every entry can
 * follow in full: a subset as large as the pool is the pool.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { DomainName, Target, TargetId } from "../model/mod.ts";
import { compareText, hashOf, rendezvousOrder } from "./hash.ts";

/** An entry and where it stands. */
export interface EntryPlace {
  readonly name: string;
  readonly domain: DomainName;
}

/** How many targets of each pool an entry follows. */
export interface SubsetSize {
  /** Targets in the entry's own failure domain. */
  readonly home: number;
  /** Targets in each other failure domain. */
  readonly away: number;
}

/** Usual size: a choice at home and a way out in each other domain. */
export const DEFAULT_SUBSET: SubsetSize = { home: 6, away: 2 };

/** Lower bound of the subset, so that small deployments follow every target. */
const MIN_SUBSET = 16;
/** Room above the mean before a target is full, as a factor. */
const SLACK = 1.1;
const ORDER_SEED = 7;

/** Members that the assignment depends on. */
export interface SubsetOptions {
  /** The entry that asks. */
  readonly self: EntryPlace;
  /** Every entry that is known, with or without `self`. */
  readonly entries: readonly EntryPlace[];
  readonly size?: SubsetSize;
}

/** Targets of one pool that the entry follows. */
export function subsetOf(
  targets: readonly Target[],
  opts: SubsetOptions,
): readonly Target[] {
  if (targets.length <= MIN_SUBSET) return targets;
  const { self, size = DEFAULT_SUBSET } = opts;
  const entries = withSelf(opts.entries, self);
  const domains = [...new Set(targets.map(({ domain }) => domain))];
  return domains.flatMap((domain) => {
    const isHome = domain === self.domain;
    const rivals = entries.filter((one) => (one.domain === domain) === isHome);
    return assign(rivals, {
      targets: targets.filter((target) => target.domain === domain),
      want: isHome ? size.home : size.away,
    }).get(self.name) ?? [];
  });
}

/** Number of entries that may follow one target. */
export function subsetBound(
  opts: { entries: number; targets: number; want: number },
): number {
  const mean = opts.entries * opts.want / opts.targets;
  return Math.max(1, Math.ceil(mean * SLACK));
}

/** Assigns `want` targets to every entry, bounded for each target. */
function assign(
  entries: readonly EntryPlace[],
  opts: { targets: readonly Target[]; want: number },
): ReadonlyMap<string, readonly Target[]> {
  const want = Math.min(opts.want, opts.targets.length);
  const bound = subsetBound({
    entries: entries.length,
    targets: opts.targets.length,
    want,
  });
  const followers = new Map<TargetId, number>();
  const assigned = new Map<string, readonly Target[]>();
  inFixedOrder(entries).forEach(({ name }) => {
    const chosen = assignOne(opts.targets, { name, want, bound, followers });
    chosen.forEach(({ id }) => followers.set(id, (followers.get(id) ?? 0) + 1));
    assigned.set(name, chosen);
  });
  return assigned;
}

function assignOne(
  targets: readonly Target[],
  { name, want, bound, followers }: {
    name: string;
    want: number;
    bound: number;
    followers: ReadonlyMap<TargetId, number>;
  },
): readonly Target[] {
  const ranked = rendezvousOrder(targets, { key: name, idOf: ({ id }) => id });
  const hasRoom = ({ id }: Target) => (followers.get(id) ?? 0) < bound;
  const roomy = ranked.filter(hasRoom).slice(0, want);
  // The last entries in order may find fewer roomy targets than they need.
  const others = ranked.filter((target) => !hasRoom(target));
  const chosen = [...roomy, ...others.slice(0, want - roomy.length)];
  invariant(
    chosen.length === want,
    "subset-complete",
    () => `entry=${name} chosen=${chosen.length} want=${want}`,
  );
  return chosen;
}

/** Order of assignment, which no entry can influence by its name's spelling. */
function inFixedOrder(entries: readonly EntryPlace[]): readonly EntryPlace[] {
  return entries
    .map((entry) => ({ entry, at: hashOf(entry.name, ORDER_SEED) }))
    .sort((a, b) => a.at - b.at || compareText(a.entry.name, b.entry.name))
    .map(({ entry }) => entry);
}

function withSelf(
  entries: readonly EntryPlace[],
  self: EntryPlace,
): readonly EntryPlace[] {
  return entries.some(({ name }) => name === self.name)
    ? entries
    : [...entries, self];
}
