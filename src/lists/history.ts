/**
 * The lists in force with the deltas that led there, so that a process can
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

/** Deltas that a process keeps for its peers. */
const MAX_DELTAS = 64;

/** What brings a reader up to date. */
export type ListsUpdate =
  | { readonly kind: "delta"; readonly delta: ListsDelta }
  | { readonly kind: "lists"; readonly lists: Lists };

/** Lists in force and the way there. */
export interface History {
  readonly lists: Lists;
  /** Deltas without gaps, the newest last; it ends at the lists' version. */
  readonly deltas: readonly ListsDelta[];
}

/** History before the first lists are known. */
export const EMPTY_HISTORY: History = { lists: EMPTY_LISTS, deltas: [] };

/**
 * History after an update. An update that is not newer, or a delta that starts
 * from another version, leaves it as it is.
 */
export function applyUpdate(history: History, update: ListsUpdate): History {
  const { lists } = history;
  if (update.kind === "lists") {
    return update.lists.version > lists.version
      ? extend(history, update.lists, diffLists(lists, update.lists))
      : history;
  }
  return applyDelta(lists, update.delta).match(
    (after) => extend(history, after, update.delta),
    () => history,
  );
}

/** What brings a reader at `version` up to date; null when nothing does. */
export function updateSince(
  { lists, deltas }: History,
  version: number,
): ListsUpdate | null {
  if (version >= lists.version) return null;
  const start = deltas.findIndex(({ from }) => from === version);
  if (start < 0 || version === 0) return { kind: "lists", lists };
  return { kind: "delta", delta: deltas.slice(start).reduce(mergeDeltas) };
}

function extend(history: History, lists: Lists, delta: ListsDelta): History {
  return { lists, deltas: [...history.deltas, delta].slice(-MAX_DELTAS) };
}
