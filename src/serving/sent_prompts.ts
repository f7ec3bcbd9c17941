/**
 * Segments of prompts that this process has sent to a target and that the
 * target's cache may therefore hold.
 *
 * @module
 */

import type { PromptPart } from "./request_work.ts";

/** Segments that are kept for one target. */
const MAX_PARTS = 512;
/**
 * Time constant with which a segment is assumed to be evicted, in
 * milliseconds.
 */
const EVICTION_MS = 8_000;
/** Age from which a segment is forgotten, in milliseconds. */
const MAX_AGE_MS = 10 * EVICTION_MS;
/** Longest name that is kept; callers may send names of any length. */
const MAX_NAME_LENGTH = 256;

/** Newest segments sent to one target, the least recently sent first. */
export class SentPrompts {
  readonly #sentAt = new Map<string, number>();

  /** Records a prompt that is sent. */
  record(parts: readonly PromptPart[], now: number): void {
    parts.filter(({ name }) => name.length <= MAX_NAME_LENGTH)
      .forEach(({ name }) => {
        this.#sentAt.delete(name);
        this.#sentAt.set(copyOf(name), now);
      });
    for (const [name, at] of this.#sentAt) {
      const isNeeded = this.#sentAt.size <= MAX_PARTS && now - at <= MAX_AGE_MS;
      if (isNeeded) break;
      this.#sentAt.delete(name);
    }
  }

  /** True for a segment that was sent. */
  has(name: string): boolean {
    return this.#sentAt.has(name);
  }

  /**
   * Expected number of tokens at the beginning of a prompt that the target
   * holds. A segment is of use only together with all those before it.
   */
  heldTokens(parts: readonly PromptPart[], now: number): number {
    const missing = parts.findIndex(({ name }) => !this.#sentAt.has(name));
    const leading = missing < 0 ? parts : parts.slice(0, missing);
    return leading.reduce((sum, { name, tokens }) => {
      const ageMs = now - (this.#sentAt.get(name) ?? now);
      return sum + tokens * Math.exp(-ageMs / EVICTION_MS);
    }, 0);
  }
}

/** A part of a header field would keep the whole field in memory. */
function copyOf(name: string): string {
  return Buffer.from(name).toString();
}
