/**
 * Keys of prompt prefixes, which identify calls that share a prefix.
 *
 * @module
 */

import { BLOCK_TOKENS, blocksOf, CHARS_PER_TOKEN } from "../model/mod.ts";

const BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;
/** Shortest prefix for which calls are routed by affinity, in characters. */
export const MIN_PREFIX_CHARS = 4 * BLOCK_CHARS;
/**
 * Longest prefix that a key covers, in characters. A longer one would separate
 * calls that share a document but ask different questions about it; a shorter
 * one would give the same key to all calls that share only a pipeline's
 * instructions.
 */
export const MAX_PREFIX_CHARS = 16 * BLOCK_CHARS;

/**
 * Returns the affinity key of a prompt, or undefined for a short one. The key
 * is the hash by which the engine identifies the last block of the prefix, so
 * that it can be compared with the engine's cache events.
 */
export function prefixKey(prompt: string): string | undefined {
  if (prompt.length < MIN_PREFIX_CHARS) return undefined;
  return blocksOf(prompt.slice(0, MAX_PREFIX_CHARS)).at(-1);
}
