/**
 * What an entry believes about the prompt prefixes that targets hold.
 *
 * The beliefs come from the entry's own calls and from the targets' cache
 * events. Events come late and with gaps; after a gap everything believed of
 * the target is dropped, since an eviction may be among what was missed.
 *
 * @module
 */

import type { TargetId } from "../model/mod.ts";

/** Time after which a belief that nothing renewed is dropped, in ms. */
export const BELIEF_MS = 60_000;
/** Most prefixes believed of one target. */
export const MAX_BELIEFS = 2_048;

/** What is believed of one target. */
export interface TargetCache {
  /** Number of the newest event; undefined before the first. */
  readonly seq?: number;
  /** Prefix keys, the least recently renewed first, with their times. */
  readonly held: ReadonlyMap<string, number>;
}

/** Beliefs about all targets. */
export type CacheView = ReadonlyMap<TargetId, TargetCache>;

/** Something learnt about a target's cache. Times are monotonic, in ms. */
export type CacheEvent =
  /** A call with this prefix was done. */
  | { readonly kind: "used"; readonly target: TargetId; readonly key: string }
  /** The target reported changes; `seq` counts its reports. */
  | {
    readonly kind: "reported";
    readonly target: TargetId;
    readonly seq: number;
    readonly added: readonly string[];
    readonly removed: readonly string[];
  }
  /** The target lost its memory: it restarted or turned cold. */
  | { readonly kind: "cleared"; readonly target: TargetId };

const EMPTY: TargetCache = { held: new Map() };

/** Nothing is believed yet. */
export const EMPTY_CACHE_VIEW: CacheView = new Map();

/** Applies an event at time `now`. */
export function applyCache(
  view: CacheView,
  event: CacheEvent,
  now: number,
): CacheView {
  const before = view.get(event.target) ?? EMPTY;
  const after = applyOne(before, event, now);
  if (after === before) return view;
  return new Map(view).set(event.target, after);
}

/** True while the target is believed to hold the prefix. */
export function isHolder(
  view: CacheView,
  opts: { target: TargetId; key: string; now: number },
): boolean {
  const renewedAt = view.get(opts.target)?.held.get(opts.key);
  return renewedAt !== undefined && opts.now - renewedAt < BELIEF_MS;
}

function applyOne(
  before: TargetCache,
  event: CacheEvent,
  now: number,
): TargetCache {
  switch (event.kind) {
    case "used":
      return { ...before, held: renew(before.held, [event.key], now) };
    case "cleared":
      return EMPTY;
    case "reported": {
      const { seq } = before;
      // An event that was overtaken says nothing about the present.
      if (seq !== undefined && event.seq <= seq) return before;
      const hasGap = seq !== undefined && event.seq > seq + 1;
      const held = new Map(hasGap ? [] : before.held);
      event.removed.forEach((key) => held.delete(key));
      return { seq: event.seq, held: renew(held, event.added, now) };
    }
  }
}

function renew(
  held: ReadonlyMap<string, number>,
  keys: readonly string[],
  now: number,
): ReadonlyMap<string, number> {
  const next = new Map(held);
  keys.forEach((key) => {
    next.delete(key);
    next.set(key, now);
  });
  const surplus = Math.max(0, next.size - MAX_BELIEFS);
  [...next.keys()].slice(0, surplus).forEach((key) => next.delete(key));
  return next;
}
