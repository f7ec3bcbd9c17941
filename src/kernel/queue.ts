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
