/**
 * Calls of this process in flight at targets, by pool.
 *
 * @module
 */

import type { ListedTarget } from "../serving/mod.ts";

/** Call in flight. */
export interface OpenCall {
  readonly target: ListedTarget;
  readonly route: string;
  /** Factor that makes times of calls of different sizes comparable. */
  readonly scale: number;
  /** Monotonic time at which it was sent. */
  readonly sentAt: number;
}

/** Calls in flight by pool. */
export class OpenCalls {
  readonly #pools = new Map<string, Set<OpenCall>>();

  add(pool: string, call: OpenCall): void {
    const calls = this.#pools.get(pool) ?? new Set();
    this.#pools.set(pool, calls.add(call));
  }

  delete(pool: string, call: OpenCall): void {
    const calls = this.#pools.get(pool);
    if (!calls?.delete(call)) return;
    if (calls.size === 0) this.#pools.delete(pool);
  }

  of(pool: string): readonly OpenCall[] {
    return [...this.#pools.get(pool) ?? []];
  }
}
