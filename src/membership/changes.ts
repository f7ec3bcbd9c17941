/**
 * Incremental reading of many rows: writers note the keys that they change in
 * a few head rows, readers look at the heads alone and read what changed.
 *
 * @module
 */

/** Keys that a head remembers. */
const MAX_RECENT = 16;

/** A head row as it is stored. */
export interface ChangeHead {
  /** Keys changed last, the newest first. */
  readonly recent: readonly string[];
}

/** A head row as it was read. */
export interface ReadHead {
  readonly key: string;
  /** Version of the row; zero when it is absent. */
  readonly version: number;
  readonly head: ChangeHead | null;
}

/** Versions of the heads that a reader has caught up with. */
export type SeenHeads = ReadonlyMap<string, number>;

/** What a reader has to read. */
export type RefreshPlan =
  | { readonly kind: "none" }
  | { readonly kind: "keys"; readonly keys: readonly string[] }
  /** The heads no longer remember every change. */
  | { readonly kind: "all" };

/** Notes a changed key in a head. */
export function noteChange(head: ChangeHead | null, key: string): ChangeHead {
  return { recent: [key, ...head?.recent ?? []].slice(0, MAX_RECENT) };
}

/** Plans what to read after the heads were read. */
export function planRefresh(
  seen: SeenHeads | undefined,
  heads: readonly ReadHead[],
): RefreshPlan {
  if (!seen) return { kind: "all" };
  const moved = heads.map((head) => ({
    recent: head.head?.recent ?? [],
    changes: head.version - (seen.get(head.key) ?? 0),
  })).filter(({ changes }) => changes !== 0);
  if (moved.length === 0) return { kind: "none" };
  const isForgotten = moved.some(({ changes, recent }) =>
    changes < 0 || changes > recent.length
  );
  if (isForgotten) return { kind: "all" };
  const keys = moved.flatMap(({ changes, recent }) => recent.slice(0, changes));
  return { kind: "keys", keys: [...new Set(keys)] };
}

/** Versions to remember once the plan is carried out. */
export function seenOf(heads: readonly ReadHead[]): SeenHeads {
  return new Map(heads.map(({ key, version }) => [key, version]));
}
