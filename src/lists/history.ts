/**
 * The lists in force and the deltas that led to them, from which a process can
 * bring its peers up to date without the table service.
 *
 * @module
 */

import { EMPTY_LISTS, type Lists } from "../model/mod.ts";
import {
  applyDelta,
  diffLists,
  type ListsDelta,
  mergeDeltas,
} from "./delta.ts";

/** Number of deltas that a process keeps for its peers. */
const MAX_DELTAS = 64;

/** Update that brings a reader up to date: a delta, or all lists. */
export type ListsUpdate =
  | { readonly kind: "delta"; readonly delta: ListsDelta }
  | { readonly kind: "lists"; readonly lists: Lists };

/** Lists in force and the most recent deltas. */
export interface ListsHistory {
  readonly lists: Lists;
  /** Consecutive deltas, the newest last; they end at the lists' version. */
  readonly deltas: readonly ListsDelta[];
}

/** History before any lists are known. */
export const EMPTY_LISTS_HISTORY: ListsHistory = {
  lists: EMPTY_LISTS,
  deltas: [],
};

/**
 * Returns the history after an update. An update that is not newer, and a delta
 * that starts from another version, leave it unchanged.
 */
export function applyUpdate(
  history: ListsHistory,
  update: ListsUpdate,
): ListsHistory {
  const { lists } = history;
  if (update.kind === "lists") {
    return update.lists.version > lists.version
      ? append(history, update.lists, diffLists(lists, update.lists))
      : history;
  }
  return applyDelta(lists, update.delta).match(
    (after) => append(history, after, update.delta),
    () => history,
  );
}

/**
 * Returns the update for a reader at `version`; null when the reader is already
 * up to date. A reader without lists, or at a version from which no kept delta
 * starts, gets all lists.
 */
export function updateSince(
  { lists, deltas }: ListsHistory,
  version: number,
): ListsUpdate | null {
  if (version >= lists.version) return null;
  const start = deltas.findIndex(({ from }) => from === version);
  if (start < 0 || version === 0) return { kind: "lists", lists };
  return { kind: "delta", delta: deltas.slice(start).reduce(mergeDeltas) };
}

function append(
  history: ListsHistory,
  lists: Lists,
  delta: ListsDelta,
): ListsHistory {
  return { lists, deltas: [...history.deltas, delta].slice(-MAX_DELTAS) };
}
