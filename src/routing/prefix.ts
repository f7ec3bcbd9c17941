/**
 * Keys of prompt prefixes, by which calls that share a prefix are recognised.
 *
 * @module
 */

import { BLOCK_TOKENS, blocksOf, CHARS_PER_TOKEN } from "../model/mod.ts";

const BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN;
/** Shortest prefix that is worth keeping calls together, in characters. */
export const MIN_PREFIX_CHARS = 4 * BLOCK_CHARS;
/**
 * Longest prefix that a key covers, in characters. A longer key would part
 * calls that share a document and differ in the question about it; a shorter
 * one would join all calls that share only a pipeline's instructions.
 */
export const MAX_PREFIX_CHARS = 16 * BLOCK_CHARS;

/**
 * Key by which a call keeps to a target; undefined for short prompts. It is
 * the engine's name of the block at the end of the prefix, so that the
 * engine's cache events can be read against it.
 */
export function prefixKey(prompt: string): string | undefined {
  if (prompt.length < MIN_PREFIX_CHARS) return undefined;
  return blocksOf(prompt.slice(0, MAX_PREFIX_CHARS)).at(-1);
}
