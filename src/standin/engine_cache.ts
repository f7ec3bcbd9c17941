/**
 * Prefix cache of the engine stand-in: a bounded set of hashed blocks with
 * eviction of the least recently used ones.
 *
 * @module
 */

import { blocksOf, CHARS_PER_TOKEN } from "../model/mod.ts";

/** Published event for a change of the cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly kind: "stored" | "removed";
  readonly block: string;
}

/** Prefix cache. */
export class PrefixCache {
  readonly #blockTokens: number;
  readonly #maxBlocks: number;
  readonly #publish: (event: CacheEvent) => void;
  /** Blocks from the least to the most recently used one. */
  readonly #blocks = new Set<string>();
  #seq = 0;

  constructor(opts: {
    blockTokens: number;
    maxBlocks: number;
    publish: (event: CacheEvent) => void;
  }) {
    this.#blockTokens = opts.blockTokens;
    this.#maxBlocks = opts.maxBlocks;
    this.#publish = opts.publish;
  }

  /** Looks up and stores a prompt; returns its tokens and the cached ones. */
  use(prompt: string): { tokens: number; cached: number } {
    const blocks = blocksOf(prompt, this.#blockTokens);
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    const hits = missing < 0 ? blocks.length : missing;
    this.store(blocks);
    const tokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
    return { tokens, cached: Math.min(tokens, hits * this.#blockTokens) };
  }

  /** Stores blocks and evicts the least recently used ones beyond the limit. */
  store(blocks: readonly string[]): void {
    blocks.forEach((block) => {
      if (!this.#blocks.delete(block)) this.#emit("stored", block);
      this.#blocks.add(block);
    });
    const excess = this.#blocks.size - this.#maxBlocks;
    [...this.#blocks].slice(0, Math.max(0, excess)).forEach((block) => {
      this.#blocks.delete(block);
      this.#emit("removed", block);
    });
  }

  /** Returns the cached blocks of a prompt, for export. */
  held(prompt: string): readonly string[] {
    return blocksOf(prompt, this.#blockTokens)
      .filter((block) => this.#blocks.has(block));
  }

  /** Removes all blocks without an event, as a restart of an engine does. */
  clear(): void {
    this.#blocks.clear();
  }

  #emit(kind: CacheEvent["kind"], block: string): void {
    this.#publish({ seq: this.#seq++, kind, block });
  }
}
