/**
 * Response to a caller whose body can be held back until something is known.
 *
 * @module
 */

import type { CallerResponse, Refusal, ResponseHead } from "./ports.ts";

/** Part of a body that is held back. */
interface HeldPart {
  readonly bytes: Buffer;
  /** Called when the sender may go on. */
  readonly resume: () => void;
}

/** Forwards a response, and holds its body back when asked to. */
export class HeldResponse implements CallerResponse {
  readonly #inner: CallerResponse;
  /** Parts that are held back; undefined while nothing is. */
  #held: HeldPart[] | undefined;
  /** True when the response ends with the parts that are held back. */
  #isEnded = false;

  constructor(inner: CallerResponse) {
    this.#inner = inner;
  }

  get gone(): AbortSignal {
    return this.#inner.gone;
  }

  get hasBegun(): boolean {
    return this.#inner.hasBegun;
  }

  /**
   * Holds back what is written until `until` resolves; its sender pauses
   * meanwhile.
   */
  hold(until: Promise<void>): void {
    this.#held ??= [];
    until.then(() => this.#release());
  }

  refuse(refusal: Refusal): void {
    this.#inner.refuse(refusal);
  }

  begin(head: ResponseHead): void {
    this.#inner.begin(head);
  }

  write(bytes: Buffer, resume: () => void): boolean {
    if (!this.#held) return this.#inner.write(bytes, resume);
    this.#held.push({ bytes, resume });
    return false;
  }

  end(): void {
    if (this.#held) this.#isEnded = true;
    else this.#inner.end();
  }

  cut(): void {
    this.#held = undefined;
    this.#isEnded = false;
    this.#inner.cut();
  }

  #release(): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    held.forEach(({ bytes, resume }) => {
      if (this.#inner.write(bytes, resume)) resume();
    });
    if (this.#isEnded) this.#inner.end();
  }
}
