/**
 * Writes generated text to a caller at the pace at which the caller reads.
 *
 * One write is in flight at a time; text that arrives meanwhile is merged into
 * the next one. The pending text never exceeds the text of the response, and a
 * caller that reads nothing for {@linkcode WRITE_TIMEOUT_MS} is abandoned.
 *
 * @module
 */

import type { StageName } from "../model/mod.ts";

/** Longest time that a write may take, in milliseconds. */
export const WRITE_TIMEOUT_MS = 15_000;

/** Generated text and the stage that it comes from. */
export interface StageText {
  readonly stage: StageName;
  readonly text: string;
}

/** Options of a {@linkcode TextSink}. */
export interface TextSinkOptions {
  /** Resolves once the caller's connection accepts more. */
  readonly write: (chunk: StageText) => Promise<void>;
  /** Called once when a write times out because the caller stopped reading. */
  readonly onStalled: () => void;
}

/** Writes the text of one request. */
export class TextSink {
  readonly #opts: TextSinkOptions;
  #pending: readonly StageText[] = [];
  #writing: Promise<void> | undefined;
  #stalled = false;

  constructor(opts: TextSinkOptions) {
    this.#opts = opts;
  }

  /** Appends text; discards it once the caller is abandoned. */
  push(chunk: StageText): void {
    if (this.#stalled) return;
    this.#pending = appendChunk(this.#pending, chunk);
    this.#writing ??= this.#writeAll().finally(() => {
      this.#writing = undefined;
    });
  }

  /** Resolves once all text is written or the caller is abandoned. */
  async flushed(): Promise<void> {
    await this.#writing;
  }

  async #writeAll(): Promise<void> {
    while (this.#pending.length > 0 && !this.#stalled) {
      const [next, ...rest] = this.#pending;
      this.#pending = rest;
      if (next) await this.#writeOne(next);
    }
  }

  async #writeOne(chunk: StageText): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const stalled = new Promise<void>((resolve) => {
      timer = setTimeout(() => {
        this.#abandon();
        resolve();
      }, WRITE_TIMEOUT_MS);
    });
    await Promise.race([this.#opts.write(chunk), stalled]);
    clearTimeout(timer);
  }

  #abandon(): void {
    this.#stalled = true;
    this.#pending = [];
    this.#opts.onStalled();
  }
}

/** Appends a chunk, merged with the last one if that is of the same stage. */
function appendChunk(
  pending: readonly StageText[],
  chunk: StageText,
): readonly StageText[] {
  const last = pending.at(-1);
  if (last?.stage !== chunk.stage) return [...pending, chunk];
  const merged = { stage: chunk.stage, text: last.text + chunk.text };
  return [...pending.slice(0, -1), merged];
}
