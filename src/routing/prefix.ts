/**
 * Keys of prompt prefixes, by which calls that share a prefix are recognised.
 *
 * @module
 */

import { hashOf } from "./hash.ts";

/** Characters of one block; engines cache prompts in blocks. */
export const PREFIX_BLOCK_CHARS = 256;
/**
 * Blocks that the key of a call covers at most. A longer key would part calls
 * that share a document and differ in the question about it; a shorter one
 * would join all calls that share only a pipeline's instructions.
 */
export const PREFIX_KEY_BLOCKS = 4;

/**
 * Keys of the leading blocks of a prompt. A key covers all text up to the end
 * of its block, so that equal keys mean equal prefixes. A last block that is
 * not full has no key.
 */
export function prefixBlocks(prompt: string): readonly string[] {
  const count = Math.floor(prompt.length / PREFIX_BLOCK_CHARS);
  let seed = 0;
  return Array.from({ length: count }, (_, i) => {
    const from = i * PREFIX_BLOCK_CHARS;
    seed = hashOf(prompt.slice(from, from + PREFIX_BLOCK_CHARS), seed);
    return `${i}-${seed.toString(36)}`;
  });
}

/** Key by which a call keeps to a target; undefined for short prompts. */
export function prefixKey(prompt: string): string | undefined {
  const covered = prompt.slice(0, PREFIX_BLOCK_CHARS * PREFIX_KEY_BLOCKS);
  return prefixBlocks(covered).at(-1);
}
