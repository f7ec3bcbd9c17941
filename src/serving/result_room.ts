/**
 * Room for results at the targets of a pool. A result takes its room from the
 * start of its call until it is freed or its time to live is over.
 *
 * @module
 */

import type { ResultHandle } from "./stage_plan.ts";

interface Kept {
  readonly target: string;
  readonly bytes: number;
  readonly expiresAt: number;
}

/** Results that targets keep and calls that will make some. Immutable. */
export class ResultRoom {
  readonly #kept: ReadonlyMap<ResultHandle, Kept>;
  readonly #promised: ReadonlyMap<string, number>;

  constructor(
    kept: ReadonlyMap<ResultHandle, Kept> = new Map(),
    promised: ReadonlyMap<string, number> = new Map(),
  ) {
    this.#kept = kept;
    this.#promised = promised;
  }

  /** Bytes in use at a target at monotonic time `now`. */
  used(target: string, now: number): number {
    const kept = [...this.#kept.values()]
      .filter((one) => one.target === target && one.expiresAt > now)
      .reduce((sum, { bytes }) => sum + bytes, 0);
    return kept + (this.#promised.get(target) ?? 0);
  }

  /** Room after a call that makes results of `bytes` bytes was sent. */
  promise(target: string, bytes: number): ResultRoom {
    const before = this.#promised.get(target) ?? 0;
    const promised = new Map(this.#promised)
      .set(target, Math.max(0, before + bytes));
    return new ResultRoom(this.#kept, promised);
  }

  /** Room after a call ended; `results` are those that it made. */
  settle(
    target: string,
    bytes: number,
    results: readonly { handle: ResultHandle; bytes: number }[],
    expiresAt: number,
  ): ResultRoom {
    const kept = new Map(this.#kept);
    results.forEach((one) =>
      kept.set(one.handle, { target, bytes: one.bytes, expiresAt })
    );
    return new ResultRoom(kept, this.promise(target, -bytes).#promised);
  }

  /** Room after results were freed or have expired. */
  free(handles: readonly ResultHandle[], now: number): ResultRoom {
    const freed = new Set(handles);
    const kept = [...this.#kept].filter(([handle, { expiresAt }]) =>
      !freed.has(handle) && expiresAt > now
    );
    return new ResultRoom(new Map(kept), this.#promised);
  }
}
