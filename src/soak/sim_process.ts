/**
 * Simulated operating-system process around an entry or agent: its input and
 * output block while it is paused and after it has died.
 *
 * @module
 */

import { ResultAsync } from "neverthrow";
import { setMaxListeners } from "node:events";

/** A process that can be paused, resumed and killed. */
export class SimProcess {
  readonly name: string;
  readonly #exit = new AbortController();
  #resumed: Promise<void> = Promise.resolve();
  #resume: (() => void) | undefined;
  #pauseCount = 0;

  constructor(name: string) {
    this.name = name;
    setMaxListeners(0, this.#exit.signal);
  }

  /** Aborts when the process dies, which closes its connections. */
  get exitSignal(): AbortSignal {
    return this.#exit.signal;
  }

  get isAlive(): boolean {
    return !this.#exit.signal.aborted;
  }

  get isPaused(): boolean {
    return this.#resume !== undefined;
  }

  /** Number of pauses since the start. */
  get pauseCount(): number {
    return this.#pauseCount;
  }

  /** Kills the process, as SIGKILL does. */
  kill(): void {
    this.#exit.abort(new Error(`${this.name} was killed`));
  }

  /** Pauses the process, as SIGSTOP does. */
  pause(): void {
    if (this.#resume) return;
    this.#pauseCount += 1;
    this.#resumed = new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  /** Resumes the process, as SIGCONT does. */
  resume(): void {
    this.#resume?.();
    this.#resume = undefined;
  }

  /** Resolves when the process can do I/O, and never after it has died. */
  async ioReady(): Promise<void> {
    while (this.isPaused) await this.#resumed;
    if (!this.isAlive) await new Promise<never>(() => {});
  }

  /**
   * Makes a call that leaves the process: its request and its response wait
   * until the process can do I/O.
   */
  performIo<T, E>(call: () => ResultAsync<T, E>): ResultAsync<T, E> {
    return new ResultAsync((async () => {
      await this.ioReady();
      const result = await call();
      await this.ioReady();
      return result;
    })());
  }
}
