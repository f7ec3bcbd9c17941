/**
 * Segments of prompts, and whole requests, on which this process has lately
 * received answers.
 *
 * @module
 */

import { isWholeRequest } from "../quarantine/mod.ts";

/** Maximum number of each; the least recently served are discarded. */
const MAX_SERVED = 8_192;

/** Bounded memory of segments and requests. */
export class ServedSegments {
  /** Monotonic times of the last answers. */
  readonly #segments = new Map<string, number>();
  /** Kept apart: each request adds one, which would displace the segments. */
  readonly #requests = new Map<string, number>();

  /** Records an answer at a monotonic time. */
  add(id: string, at: number): void {
    const served = this.#mapOf(id);
    served.delete(id);
    served.set(id, at);
    if (served.size <= MAX_SERVED) return;
    const [oldest] = served.keys();
    if (oldest !== undefined) served.delete(oldest);
  }

  has(id: string): boolean {
    return this.#mapOf(id).has(id);
  }

  /** Monotonic time of the last answer; undefined without one. */
  at(id: string): number | undefined {
    return this.#mapOf(id).get(id);
  }

  #mapOf(id: string): Map<string, number> {
    return isWholeRequest(id) ? this.#requests : this.#segments;
  }
}
