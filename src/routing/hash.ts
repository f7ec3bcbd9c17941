/**
 * Rendezvous hashing over names.
 *
 * @module
 */

import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Returns the 32-bit hash of a text. */
export function hashOf(text: string, seed = 0): number {
  return h32(text, seed);
}

/**
 * Returns the items in rendezvous order for a key, the highest score first.
 * Removing an item does not change the order of the others.
 */
export function rendezvousOrder<T>(
  items: readonly T[],
  opts: { key: string; idOf: (item: T) => string },
): readonly T[] {
  const seed = hashOf(opts.key);
  return items
    .map((item) => ({ item, id: opts.idOf(item) }))
    .map(({ item, id }) => ({ item, id, score: hashOf(id, seed) }))
    .sort((a, b) => b.score - a.score || compareText(a.id, b.id))
    .map(({ item }) => item);
}

/** Compares two texts by code unit, with the same result on every host. */
export function compareText(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
