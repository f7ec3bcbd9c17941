/**
 * Hashes of prompt blocks, as used by engines in their cache events.
 *
 * @module
 */

import { sha256 } from "./digest.ts";

/** Number of characters counted as one prompt token. */
export const CHARS_PER_TOKEN = 4;
/** Prompt tokens per block in the usual configuration of an engine. */
export const BLOCK_TOKENS = 16;
const HASH_CHARS = 16;

/** Returns a hash per full block; each also covers all blocks before it. */
export function blocksOf(
  prompt: string,
  blockTokens = BLOCK_TOKENS,
): readonly string[] {
  const size = blockTokens * CHARS_PER_TOKEN;
  const blocks: string[] = [];
  for (let i = 0; i < Math.floor(prompt.length / size); i += 1) {
    const text = prompt.slice(i * size, (i + 1) * size);
    blocks.push(sha256((blocks[i - 1] ?? "") + text).slice(0, HASH_CHARS));
  }
  return blocks;
}
