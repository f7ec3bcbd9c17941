/**
 * Reports that are published with a delay, and events that can get lost.
 *
 * @module
 */

interface Item<T> {
  readonly at: number;
  readonly value: T;
}

/** Reports the newest sample that is at least as old as the delay. */
export class DelayedReport<T> {
  readonly #lagMs: number;
  #samples: Item<T>[] = [];

  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /** Records the current state. */
  sample(value: T): void {
    const now = Date.now();
    this.#samples.push({ at: now, value });
    const publishedIndex = this.#samples.findLastIndex(({ at }) =>
      at <= now - this.#lagMs
    );
    if (publishedIndex > 0) this.#samples = this.#samples.slice(publishedIndex);
  }

  /** Returns the published sample and its age in milliseconds. */
  read(): { value: T; ageMs: number } | undefined {
    const now = Date.now();
    const found = this.#samples.findLast(({ at }) => at <= now - this.#lagMs);
    return found && { value: found.value, ageMs: now - found.at };
  }
}

/** Events that are published after a delay, except for the lost ones. */
export class LossyEvents<T> {
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
    if (this.#items.length > LossyEvents.#MAX_ITEMS) this.#items.shift();
  }

  /** Returns the events whose delay has passed. */
  published(): readonly T[] {
    const until = Date.now() - this.#lagMs;
    return this.#items.filter(({ at }) => at <= until)
      .map(({ value }) => value);
  }
}
