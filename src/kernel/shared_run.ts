/**
 * Runs a task on behalf of several callers at once.
 *
 * @module
 */

import { monotonicMs, sleep } from "./sleep.ts";

/**
 * Shares the runs of a task: each caller gets the result of one that began
 * after its call, and runs begin with a pause between them.
 */
export class SharedRun<T> {
  readonly #task: () => Promise<T>;
  readonly #pauseMs: number;
  #next: Promise<T> | undefined;
  #running: Promise<unknown> = Promise.resolve();
  #mayStartAt = 0;

  constructor(task: () => Promise<T>, opts: { readonly pauseMs: number }) {
    this.#task = task;
    this.#pauseMs = opts.pauseMs;
  }

  /** Resolves with the result of a run that begins after this call. */
  run(): Promise<T> {
    this.#next ??= this.#start();
    return this.#next;
  }

  async #start(): Promise<T> {
    await this.#running;
    const waitMs = this.#mayStartAt - monotonicMs();
    if (waitMs > 0) await sleep(waitMs);
    this.#next = undefined;
    this.#mayStartAt = monotonicMs() + this.#pauseMs;
    const result = this.#task();
    this.#running = result.catch(() => {});
    return await result;
  }
}
