/**
 * Segments of prompts on which this process has lately received answers.
 *
 * @module
 */

/** Maximum number of segments; the least recently served are discarded. */
const MAX_SEGMENTS = 8_192;

/** Bounded memory of segments. */
export class ServedSegments {
  /** Monotonic times of the last answers. */
  readonly #segments = new Map<string, number>();

  /** Records an answer at a monotonic time. */
  add(segment: string, at: number): void {
    this.#segments.delete(segment);
    this.#segments.set(segment, at);
    if (this.#segments.size <= MAX_SEGMENTS) return;
    const [oldest] = this.#segments.keys();
    if (oldest !== undefined) this.#segments.delete(oldest);
  }

  has(segment: string): boolean {
    return this.#segments.has(segment);
  }

  /** Monotonic time of the last answer; undefined without one. */
  at(segment: string): number | undefined {
    return this.#segments.get(segment);
  }
}
