/**
 * Passes generated text on to a caller at the pace at which it reads.
 *
 * One write is in flight at a time; text that comes meanwhile is joined into
 * the next one. What waits is never more than the text of the answer, and a
 * caller that reads nothing for too long is given up.
 *
 * @module
 */

import type { StageName } from "../model/mod.ts";

/** Longest time that a write may take, in milliseconds. */
export const STALLED_MS = 15_000;

/** Text of one stage. */
export interface StageText {
  readonly stage: StageName;
  readonly text: string;
}

/** What a sink is made of. */
export interface TextSinkOptions {
  /** Resolves once the caller's connection takes more. */
  readonly write: (piece: StageText) => Promise<void>;
  /** Called once when the caller stopped reading. */
  readonly onStalled: () => void;
}

/** Sink of the text of one request. */
export class TextSink {
  readonly #opts: TextSinkOptions;
  #waiting: readonly StageText[] = [];
  #writing: Promise<void> | undefined;
  #stalled = false;

  constructor(opts: TextSinkOptions) {
    this.#opts = opts;
  }

  /** Adds text. */
  push(piece: StageText): void {
    if (this.#stalled) return;
    this.#waiting = join(this.#waiting, piece);
    this.#writing ??= this.#writeAll().finally(() => {
      this.#writing = undefined;
    });
  }

  /** Resolves once all text was written, or the caller was given up. */
  async flushed(): Promise<void> {
    await this.#writing;
  }

  async #writeAll(): Promise<void> {
    while (this.#waiting.length > 0 && !this.#stalled) {
      const [next, ...rest] = this.#waiting;
      this.#waiting = rest;
      if (next) await this.#writeOne(next);
    }
  }

  async #writeOne(piece: StageText): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const stalled = new Promise<void>((resolve) => {
      timer = setTimeout(() => {
        this.#giveUp();
        resolve();
      }, STALLED_MS);
    });
    await Promise.race([this.#opts.write(piece), stalled]);
    clearTimeout(timer);
  }

  #giveUp(): void {
    this.#stalled = true;
    this.#waiting = [];
    this.#opts.onStalled();
  }
}

/** Appends a piece, joined with the last one of the same stage. */
function join(
  waiting: readonly StageText[],
  piece: StageText,
): readonly StageText[] {
  const last = waiting.at(-1);
  if (last?.stage !== piece.stage) return [...waiting, piece];
  const joined = { stage: piece.stage, text: last.text + piece.text };
  return [...waiting.slice(0, -1), joined];
}
