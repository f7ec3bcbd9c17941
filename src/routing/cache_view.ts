/**
 * An entry's view of the prompt prefixes that targets hold in their caches.
 *
 * The view is built from the entry's own calls and from the targets' cache
 * events. Events arrive late and with gaps. After a gap, all prefixes recorded
 * for the target are discarded, because the missed events may have included an
 * eviction.
 *
 * @module
 */

import type { TargetId } from "../model/mod.ts";

/** Time after which a prefix that was not renewed expires, in milliseconds. */
export const PREFIX_TTL_MS = 60_000;
/** Maximum number of prefixes recorded for one target. */
export const MAX_PREFIXES_PER_TARGET = 2_048;

/** Recorded cache contents of one target. */
export interface TargetCache {
  /** Sequence number of the newest event; undefined before the first. */
  readonly seq?: number;
  /** Prefix keys with renewal times, the least recently renewed first. */
  readonly held: ReadonlyMap<string, number>;
}

/** Recorded cache contents of all targets. */
export type CacheView = ReadonlyMap<TargetId, TargetCache>;

/** An observation of a target's cache. */
export type CacheEvent =
  /** A call with this prefix completed. */
  | { readonly kind: "used"; readonly target: TargetId; readonly key: string }
  /** The target reported changes; `seq` numbers its reports. */
  | {
    readonly kind: "reported";
    readonly target: TargetId;
    readonly seq: number;
    readonly added: readonly string[];
    readonly removed: readonly string[];
  }
  /** The target lost its cache because it restarted or turned cold. */
  | { readonly kind: "cleared"; readonly target: TargetId };

const EMPTY_TARGET_CACHE: TargetCache = { held: new Map() };

/** View without any recorded prefixes. */
export const EMPTY_CACHE_VIEW: CacheView = new Map();

/** Applies an event at monotonic time `now`, in milliseconds. */
export function applyCache(
  view: CacheView,
  event: CacheEvent,
  now: number,
): CacheView {
  const before = view.get(event.target) ?? EMPTY_TARGET_CACHE;
  const after = applyToTarget(before, event, now);
  if (after === before) return view;
  return new Map(view).set(event.target, after);
}

/** True while the target is recorded as holding the prefix. */
export function isHolder(
  view: CacheView,
  opts: { target: TargetId; key: string; now: number },
): boolean {
  const renewedAt = view.get(opts.target)?.held.get(opts.key);
  return renewedAt !== undefined && opts.now - renewedAt < PREFIX_TTL_MS;
}

function applyToTarget(
  before: TargetCache,
  event: CacheEvent,
  now: number,
): TargetCache {
  switch (event.kind) {
    case "used":
      return { ...before, held: renew(before.held, [event.key], now) };
    case "cleared":
      return EMPTY_TARGET_CACHE;
    case "reported": {
      const { seq } = before;
      // An event that arrives after a newer one is out of date.
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
  const surplus = Math.max(0, next.size - MAX_PREFIXES_PER_TARGET);
  [...next.keys()].slice(0, surplus).forEach((key) => next.delete(key));
  return next;
}
