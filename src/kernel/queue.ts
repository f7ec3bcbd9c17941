/**
 * Queue between producers and one asynchronous consumer.
 *
 * @module
 */

/** Unbounded queue that is consumed with `for await`. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  #items: T[] = [];
  #wake: (() => void) | undefined;
  #closed = false;

  /** Appends an item; discards it when the queue is closed. */
  push(item: T): void {
    if (this.#closed) return;
    this.#items.push(item);
    this.#wake?.();
  }

  /**
   * Merges an item into the newest queued one or appends it. `merge` returns
   * the merged item, or undefined to keep the two separate. Returns true when
   * the items were merged.
   */
  merge(item: T, merge: (last: T) => T | undefined): boolean {
    const last = this.#items.at(-1);
    const merged = last === undefined || this.#closed ? undefined : merge(last);
    if (merged === undefined) {
      this.push(item);
      return false;
    }
    this.#items[this.#items.length - 1] = merged;
    return true;
  }

  /** Ends the iteration after the queued items. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Number of queued items. */
  get length(): number {
    return this.#items.length;
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T> {
    while (true) {
      const items = this.#items;
      this.#items = [];
      yield* items;
      if (this.#items.length > 0) continue;
      if (this.#closed) return;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
      this.#wake = undefined;
    }
  }
}
