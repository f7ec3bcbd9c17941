/**
 * Segments of prompts on which this process has lately received answers.
 *
 * @module
 */

/** Maximum number of segments; the least recently served are discarded. */
const MAX_SEGMENTS = 8_192;

/** Bounded set of segments. */
export class ServedSegments {
  readonly #segments = new Set<string>();

  add(segment: string): void {
    this.#segments.delete(segment);
    this.#segments.add(segment);
    if (this.#segments.size <= MAX_SEGMENTS) return;
    const [oldest] = this.#segments;
    if (oldest !== undefined) this.#segments.delete(oldest);
  }

  has(segment: string): boolean {
    return this.#segments.has(segment);
  }
}
