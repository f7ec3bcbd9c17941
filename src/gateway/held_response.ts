/**
 * Response to a caller whose body can be held back until something is known.
 *
 * @module
 */

import type { CallerResponse, Refusal, ResponseHead } from "./ports.ts";

/**
 * Bytes that are held back before the sender pauses. It goes on until then, as
 * its connection may break, and what it has sent is read by then.
 */
const MAX_HELD_BYTES = 65_536;

/**
 * Time between the last part that was held back and a cut, in milliseconds: a
 * connection that is reset while it sends may look closed to its caller.
 */
const CUT_PAUSE_MS = 50;

/** Part of a body that is held back. */
interface HeldPart {
  readonly bytes: Buffer;
  /** Lets the sender go on; undefined when it has not paused. */
  readonly resume?: () => void;
}

/** How a response that is held back ends. */
type HeldEnd = "end" | "cut";

/** Forwards a response, and holds its body back when asked to. */
export class HeldResponse implements CallerResponse {
  readonly #inner: CallerResponse;
  /** Parts that are held back; undefined while nothing is. */
  #held: HeldPart[] | undefined;
  #heldBytes = 0;
  /** End of the response after the parts that are held back. */
  #end: HeldEnd | undefined;

  constructor(inner: CallerResponse) {
    this.#inner = inner;
  }

  get gone(): AbortSignal {
    return this.#inner.gone;
  }

  get hasBegun(): boolean {
    return this.#inner.hasBegun;
  }

  /** Holds back what is written until `until` resolves. */
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
    this.#heldBytes += bytes.length;
    const mayContinue = this.#heldBytes <= MAX_HELD_BYTES;
    this.#held.push(mayContinue ? { bytes } : { bytes, resume });
    return mayContinue;
  }

  end(): void {
    if (this.#held) this.#end = "end";
    else this.#inner.end();
  }

  cut(): void {
    if (this.#held) this.#end = "cut";
    else this.#inner.cut();
  }

  #release(): void {
    const held = this.#held ?? [];
    this.#held = undefined;
    held.forEach(({ bytes, resume = () => {} }) => {
      if (this.#inner.write(bytes, resume)) resume();
    });
    if (this.#end === "end") this.#inner.end();
    if (this.#end === "cut") setTimeout(() => this.#inner.cut(), CUT_PAUSE_MS);
  }
}
