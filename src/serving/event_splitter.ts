/**
 * Splits a stream of server-sent events into whole events without changing
 * their bytes.
 *
 * @module
 */

import { ByteBuffer } from "../kernel/mod.ts";
import { EventOrder } from "./event_order.ts";

/** Bytes of whole events and the last event identifier. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
  /** Why what follows these bytes is no event of the stream. */
  readonly fault?: string;
}

/**
 * Most bytes of a stream after its last event with an identifier; an event
 * holds a few tokens.
 */
const MAX_EVENT_BYTES = 2 * 1024 * 1024;

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers an incomplete event until the rest of it has arrived. */
export class EventSplitter {
  readonly #rest = new ByteBuffer();
  readonly #order: EventOrder;
  #unidentifiedBytes = 0;

  /** `after` identifies the last event of the stream that the caller has. */
  constructor(after?: string) {
    this.#order = new EventOrder(after);
  }

  /** Returns the events that `chunk` completes; undefined when none. */
  push(chunk: Buffer): WholeEvents | undefined {
    const searched = this.#rest.length;
    this.#rest.append(chunk);
    this.#unidentifiedBytes += chunk.length;
    const all = this.#rest.bytes;
    const end = endOfLastEvent(all, searched);
    if (end === 0) return undefined;
    this.#rest.replace(all.subarray(end));
    const { length, lastId, fault } = this.#order.check(
      all.toString("latin1", 0, end),
    );
    if (lastId !== undefined) this.#unidentifiedBytes = this.#rest.length;
    return { bytes: all.subarray(0, length), lastId, fault };
  }

  /** True when the bytes since the last identified event are no event. */
  get isOverlong(): boolean {
    return this.#unidentifiedBytes > MAX_EVENT_BYTES;
  }

  /** Bytes of the incomplete event. */
  get rest(): Buffer {
    return this.#rest.bytes;
  }
}

/**
 * Returns the offset after the last blank line; 0 when there is none. No blank
 * line ends in the first `searched` bytes.
 */
function endOfLastEvent(bytes: Buffer, searched: number): number {
  for (let at = bytes.length - 1; at >= Math.max(1, searched); at--) {
    if (bytes[at] !== LINE_FEED) continue;
    if (bytes[at - 1] === LINE_FEED) return at + 1;
    if (bytes[at - 1] === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED) {
      return at + 1;
    }
  }
  return 0;
}
