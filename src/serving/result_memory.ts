/**
 * Memory for results at the targets of a pool. A result occupies memory from
 * the start of its call until it is released or its time to live ends.
 *
 * @module
 */

import type { ResultHandle } from "./stage_plan.ts";

interface StoredResult {
  readonly target: string;
  readonly bytes: number;
  readonly expiresAt: number;
}

/** Memory of a target that results of other owners occupy. */
interface ForeignUse {
  readonly bytes: number;
  readonly until: number;
}

/** Memory of stored results and of calls in flight. Immutable. */
export class ResultMemory {
  readonly #stored: ReadonlyMap<ResultHandle, StoredResult>;
  readonly #reserved: ReadonlyMap<string, number>;
  readonly #foreign: ReadonlyMap<string, ForeignUse>;

  constructor(
    stored: ReadonlyMap<ResultHandle, StoredResult> = new Map(),
    reserved: ReadonlyMap<string, number> = new Map(),
    foreign: ReadonlyMap<string, ForeignUse> = new Map(),
  ) {
    this.#stored = stored;
    this.#reserved = reserved;
    this.#foreign = foreign;
  }

  /** Returns the bytes in use at a target at monotonic time `now`. */
  used(target: string, now: number): number {
    const storedBytes = [...this.#stored.values()]
      .filter((one) => one.target === target && one.expiresAt > now)
      .reduce((sum, { bytes }) => sum + bytes, 0);
    const foreign = this.#foreign.get(target);
    const foreignBytes = foreign && foreign.until > now ? foreign.bytes : 0;
    return storedBytes + (this.#reserved.get(target) ?? 0) + foreignBytes;
  }

  /**
   * Returns the state after a target reported that it is full although `bytes`
   * bytes should be left. Results of another owner must occupy them, so they
   * count as used until `until`.
   */
  recordForeignUse(target: string, bytes: number, until: number): ResultMemory {
    const foreign = new Map(this.#foreign).set(target, { bytes, until });
    return new ResultMemory(this.#stored, this.#reserved, foreign);
  }

  /** Returns the state after a call was sent whose results need `bytes`. */
  reserve(target: string, bytes: number): ResultMemory {
    const before = this.#reserved.get(target) ?? 0;
    const reserved = new Map(this.#reserved)
      .set(target, Math.max(0, before + bytes));
    return new ResultMemory(this.#stored, reserved, this.#foreign);
  }

  /**
   * Returns the state after a call ended that had reserved `bytes` and stored
   * `results` at the target.
   */
  settle(
    target: string,
    bytes: number,
    results: readonly { handle: ResultHandle; bytes: number }[],
    expiresAt: number,
  ): ResultMemory {
    const stored = new Map(this.#stored);
    results.forEach((one) =>
      stored.set(one.handle, { target, bytes: one.bytes, expiresAt })
    );
    return new ResultMemory(
      stored,
      this.reserve(target, -bytes).#reserved,
      this.#foreign,
    );
  }

  /** Returns the state without released and expired results. */
  release(handles: readonly ResultHandle[], now: number): ResultMemory {
    const released = new Set(handles);
    const stored = [...this.#stored].filter(([handle, { expiresAt }]) =>
      !released.has(handle) && expiresAt > now
    );
    return new ResultMemory(new Map(stored), this.#reserved, this.#foreign);
  }
}
