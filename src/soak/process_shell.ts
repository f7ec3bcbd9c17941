/**
 * Stands for the operating-system process around a simulated entry or agent:
 * its input and output stop when it is paused or dead.
 *
 * @module
 */

import { ResultAsync } from "neverthrow";
import { setMaxListeners } from "node:events";

/** A process that can be paused, resumed and killed. */
export class ProcessShell {
  readonly name: string;
  readonly #death = new AbortController();
  #resumed: Promise<void> = Promise.resolve();
  #resume: (() => void) | undefined;
  #pauses = 0;

  constructor(name: string) {
    this.name = name;
    setMaxListeners(0, this.#death.signal);
  }

  /** Aborts when the process dies: its peers see closed connections. */
  get death(): AbortSignal {
    return this.#death.signal;
  }

  get isAlive(): boolean {
    return !this.#death.signal.aborted;
  }

  get isPaused(): boolean {
    return this.#resume !== undefined;
  }

  /** Number of pauses so far. */
  get pauses(): number {
    return this.#pauses;
  }

  /** Ends the process at once. */
  kill(): void {
    this.#death.abort(new Error(`${this.name} died`));
  }

  /** Stops the process, as SIGSTOP does. */
  pause(): void {
    if (this.#resume) return;
    this.#pauses += 1;
    this.#resumed = new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Lets the process go on, as SIGCONT does. */
  resume(): void {
    this.#resume?.();
    this.#resume = undefined;
  }

  /** Resolves when the process may do input or output; never once it died. */
  async io(): Promise<void> {
    while (this.isPaused) await this.#resumed;
    if (!this.isAlive) await new Promise<never>(() => {});
  }

  /** Input and output of a call that leaves the process and comes back. */
  around<T, E>(call: () => ResultAsync<T, E>): ResultAsync<T, E> {
    return new ResultAsync((async () => {
      await this.io();
      const result = await call();
      await this.io();
      return result;
    })());
  }
}
