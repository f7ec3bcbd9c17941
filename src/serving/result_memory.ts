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

/** Room that a target lacks though this process knows of no use of it. */
interface Foreign {
  readonly bytes: number;
  readonly until: number;
}

/** Results that targets keep and calls that will make some. Immutable. */
export class ResultRoom {
  readonly #kept: ReadonlyMap<ResultHandle, Kept>;
  readonly #promised: ReadonlyMap<string, number>;
  readonly #foreign: ReadonlyMap<string, Foreign>;

  constructor(
    kept: ReadonlyMap<ResultHandle, Kept> = new Map(),
    promised: ReadonlyMap<string, number> = new Map(),
    foreign: ReadonlyMap<string, Foreign> = new Map(),
  ) {
    this.#kept = kept;
    this.#promised = promised;
    this.#foreign = foreign;
  }

  /** Bytes in use at a target at monotonic time `now`. */
  used(target: string, now: number): number {
    const kept = [...this.#kept.values()]
      .filter((one) => one.target === target && one.expiresAt > now)
      .reduce((sum, { bytes }) => sum + bytes, 0);
    const foreign = this.#foreign.get(target);
    const foreignBytes = foreign && foreign.until > now ? foreign.bytes : 0;
    return kept + (this.#promised.get(target) ?? 0) + foreignBytes;
  }

  /**
   * Room after a target said that it is full although `bytes` bytes should be
   * left: until `until` they count as used, by results of another owner.
   */
  lacks(target: string, bytes: number, until: number): ResultRoom {
    const foreign = new Map(this.#foreign).set(target, { bytes, until });
    return new ResultRoom(this.#kept, this.#promised, foreign);
  }

  /** Room after a call that makes results of `bytes` bytes was sent. */
  promise(target: string, bytes: number): ResultRoom {
    const before = this.#promised.get(target) ?? 0;
    const promised = new Map(this.#promised)
      .set(target, Math.max(0, before + bytes));
    return new ResultRoom(this.#kept, promised, this.#foreign);
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
    return new ResultRoom(
      kept,
      this.promise(target, -bytes).#promised,
      this.#foreign,
    );
  }

  /** Room after results were freed or have expired. */
  free(handles: readonly ResultHandle[], now: number): ResultRoom {
    const freed = new Set(handles);
    const kept = [...this.#kept].filter(([handle, { expiresAt }]) =>
      !freed.has(handle) && expiresAt > now
    );
    return new ResultRoom(new Map(kept), this.#promised, this.#foreign);
  }
}
