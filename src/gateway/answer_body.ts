/**
 * Holds the body of an answer until the answer is complete, so that the request
 * can be sent again if it breaks off.
 *
 * A body that is larger than what is held is passed on as it arrives if its
 * head states its length. One without a length is then taken for bytes without
 * end: no sound answer is that large.
 *
 * @module
 */

import { DEFAULT_CLIENT_LIMITS } from "../http/mod.ts";
import { ByteBuffer } from "../kernel/mod.ts";

/** Largest body that is held, and largest without a length, in bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/**
 * Largest part of an answer that is held although callers have left too much
 * unread, in bytes, and the share of the memory for all such parts. Otherwise
 * slow readers would break off the streams of all others, of which a part of an
 * event is held until the rest of it arrives.
 */
const SMALL_PART_BYTES = 64 * 1024;
const SMALL_PARTS_SHARE = 0.25;

/** Counts the bytes of answers that a process holds. */
export class HeldBytes {
  readonly #maxBytes: number;
  readonly #unreadBytes: () => number;
  readonly #received: (bytes: number) => void;
  #bytes = 0;

  /**
   * Holds at most `maxBytes`, with those of answers that were sent and that
   * callers have not read; `received` is told of all that arrive.
   */
  constructor(
    maxBytes = DEFAULT_CLIENT_LIMITS.answerBytes,
    unreadBytes: () => number = () => 0,
    received: (bytes: number) => void = () => {},
  ) {
    this.#maxBytes = maxBytes;
    this.#unreadBytes = unreadBytes;
    this.#received = received;
  }

  /** Counts a buffer of an answer that has arrived. */
  received(bytes: number): void {
    this.#received(bytes);
  }

  /** Replaces one part of the bytes; false when there is too little room. */
  tryReplace(from: number, to: number): boolean {
    const heldBytes = this.#bytes - from + to;
    const isSmall = to <= SMALL_PART_BYTES &&
      heldBytes <= SMALL_PARTS_SHARE * this.#maxBytes;
    const hasRoom = isSmall ||
      heldBytes + this.#unreadBytes() <= this.#maxBytes;
    if (to > from && !hasRoom) return false;
    this.#bytes = heldBytes;
    return true;
  }
}

/** Bytes that one answer holds. */
export class HeldShare {
  readonly #total: HeldBytes;
  #bytes = 0;

  constructor(total: HeldBytes) {
    this.#total = total;
  }

  /** Counts a buffer of the answer that has arrived. */
  received(bytes: number): void {
    this.#total.received(bytes);
  }

  /** Holds this many bytes; false, and no change, when there is no room. */
  tryHold(bytes: number): boolean {
    const isHeld = this.#total.tryReplace(this.#bytes, bytes);
    if (isHeld) this.#bytes = bytes;
    return isHeld;
  }
}

/** What to do after more bytes of a body have arrived. */
export const BodyStep = {
  /** The bytes are held. */
  Hold: "hold",
  /** They don't fit: pass on what is held, then these bytes. */
  PassOn: "pass-on",
  /** The body has no end. */
  Endless: "endless",
} as const;
export type BodyStep = typeof BodyStep[keyof typeof BodyStep];

/** Body of one answer. */
export class AnswerBody {
  readonly #share: HeldShare;
  readonly #held = new ByteBuffer();
  #isHeld = true;
  #receivedBytes = 0;

  constructor(share: HeldShare) {
    this.#share = share;
  }

  /** Receives bytes; `length` is that of the whole body, if stated. */
  push(bytes: Buffer, length: number | undefined): BodyStep {
    this.#receivedBytes += bytes.length;
    if (length === undefined && this.#receivedBytes > MAX_BODY_BYTES) {
      return BodyStep.Endless;
    }
    this.#isHeld &&= (length ?? 0) <= MAX_BODY_BYTES &&
      this.#share.tryHold(this.#held.length + bytes.length);
    if (!this.#isHeld) return BodyStep.PassOn;
    this.#held.append(bytes, length);
    return BodyStep.Hold;
  }

  /** Returns what is held and holds it no longer. */
  take(): Buffer {
    const { bytes } = this.#held;
    this.#share.tryHold(0);
    this.#held.clear();
    return bytes;
  }
}
