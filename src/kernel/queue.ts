/**
 * Queue between a producer and one asynchronous reader.
 *
 * @module
 */

/** Unbounded queue that is read with `for await`. */
export class AsyncQueue<T> implements AsyncIterable<T> {
  #items: T[] = [];
  #wake: (() => void) | undefined;
  #closed = false;

  /** Adds an item; dropped when the queue is closed. */
  push(item: T): void {
    if (this.#closed) return;
    this.#items.push(item);
    this.#wake?.();
  }

  /**
   * Joins an item with the newest one that waits to be read, or adds it;
   * `merge` gives the joined item, or undefined when the two stay apart.
   * True when the items were joined.
   */
  merge(item: T, merge: (last: T) => T | undefined): boolean {
    const last = this.#items.at(-1);
    const joined = last === undefined || this.#closed ? undefined : merge(last);
    if (joined === undefined) {
      this.push(item);
      return false;
    }
    this.#items[this.#items.length - 1] = joined;
    return true;
  }

  /** Ends the iteration after the items that are queued. */
  close(): void {
    this.#closed = true;
    this.#wake?.();
  }

  /** Items that wait to be read. */
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
