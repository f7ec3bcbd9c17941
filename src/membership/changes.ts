/**
 * Incremental reads of many rows: writers record the keys that they change in
 * a few head rows; readers poll only the heads and then read the changed rows.
 *
 * @module
 */

/** Maximum number of changed keys that a head lists. */
const MAX_RECENT_KEYS = 16;

/** A head row as it is stored. */
export interface ChangeHead {
  /** Most recently changed keys, the newest first. */
  readonly recent: readonly string[];
}

/** A head row as it was read. */
export interface HeadRow {
  readonly key: string;
  /** Version of the row; zero when it is absent. */
  readonly version: number;
  readonly head: ChangeHead | null;
}

/** Versions of the heads up to which a reader has read all changes. */
export type HeadVersions = ReadonlyMap<string, number>;

/** Rows that a reader has to read. */
export type RefreshPlan =
  | { readonly kind: "none" }
  | { readonly kind: "keys"; readonly keys: readonly string[] }
  /** The heads no longer list every change. */
  | { readonly kind: "all" };

/** Returns the head with a changed key recorded. */
export function recordChange(head: ChangeHead | null, key: string): ChangeHead {
  return { recent: [key, ...head?.recent ?? []].slice(0, MAX_RECENT_KEYS) };
}

/** Returns which rows to read, given the heads that were just read. */
export function planRefresh(
  seen: HeadVersions | undefined,
  heads: readonly HeadRow[],
): RefreshPlan {
  if (!seen) return { kind: "all" };
  const changed = heads.map((head) => ({
    recent: head.head?.recent ?? [],
    changes: head.version - (seen.get(head.key) ?? 0),
  })).filter(({ changes }) => changes !== 0);
  if (changed.length === 0) return { kind: "none" };
  const isIncomplete = changed.some(({ changes, recent }) =>
    changes < 0 || changes > recent.length
  );
  if (isIncomplete) return { kind: "all" };
  const keys = changed.flatMap(({ changes, recent }) =>
    recent.slice(0, changes)
  );
  return { kind: "keys", keys: [...new Set(keys)] };
}

/** Returns the versions to keep once the refresh is complete. */
export function headVersionsOf(heads: readonly HeadRow[]): HeadVersions {
  return new Map(heads.map(({ key, version }) => [key, version]));
}
