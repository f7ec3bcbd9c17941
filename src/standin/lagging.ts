/**
 * Reports that come late and with gaps.
 *
 * @module
 */

interface Item<T> {
  readonly at: number;
  readonly value: T;
}

/** Keeps samples and gives the newest one that is old enough. */
export class LaggingReport<T> {
  readonly #lagMs: number;
  #samples: Item<T>[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Takes a sample of the present state. */
  sample(value: T): void {
    const now = Date.now();
    this.#samples.push({ at: now, value });
    const newestOld = this.#samples.findLastIndex(({ at }) =>
      at <= now - this.#lagMs
    );
    if (newestOld > 0) this.#samples = this.#samples.slice(newestOld);
  }

  /** The report as it is published now, with its age in milliseconds. */
  read(): { value: T; ageMs: number } | undefined {
    const now = Date.now();
    const found = this.#samples.findLast(({ at }) => at <= now - this.#lagMs);
    return found && { value: found.value, ageMs: now - found.at };
  }
}

/** Events that are published after a delay; some never are. */
export class GappyEvents<T> {
  readonly #lagMs: number;
  readonly #isLost: () => boolean;
  #items: Item<T>[] = [];
  static readonly #MAX_ITEMS = 4_096;

  constructor(opts: { lagMs: number; isLost: () => boolean }) {
    this.#lagMs = opts.lagMs;
    this.#isLost = opts.isLost;
  }

  push(value: T): void {
    if (this.#isLost()) return;
    this.#items.push({ at: Date.now(), value });
    if (this.#items.length > GappyEvents.#MAX_ITEMS) this.#items.shift();
  }

  /** Events that are published by now. */
  published(): readonly T[] {
    const until = Date.now() - this.#lagMs;
    return this.#items.filter(({ at }) => at <= until)
      .map(({ value }) => value);
  }
}
