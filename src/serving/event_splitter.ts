/**
 * Splits a stream of server-sent events into whole events without changing
 * their bytes.
 *
 * @module
 */

/** Bytes of one or more whole events and the last event identifier. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Buffers an incomplete event until the rest of it has arrived. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Returns the events that `chunk` completes; undefined when none. */
  push(chunk: Buffer): WholeEvents | undefined {
    const all = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = endOfLastEvent(all);
    this.#rest = all.subarray(end);
    if (end === 0) return undefined;
    const bytes = all.subarray(0, end);
    return { bytes, lastId: lastIdOf(bytes) };
  }

  /** Bytes of the incomplete event. */
  get rest(): Buffer {
    return this.#rest;
  }
}

/** Returns the offset after the last blank line; 0 when there is none. */
function endOfLastEvent(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== LINE_FEED) continue;
    if (bytes[at - 1] === LINE_FEED) return at + 1;
    if (bytes[at - 1] === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED) {
      return at + 1;
    }
  }
  return 0;
}

function lastIdOf(bytes: Buffer): string | undefined {
  const text = bytes.toString("latin1");
  const at = text.startsWith("id:") && !text.includes("\nid:")
    ? 0
    : text.lastIndexOf("\nid:") + 1;
  if (!text.startsWith("id:", at)) return undefined;
  const end = text.indexOf("\n", at);
  return text.slice(at + "id:".length, end).trim();
}
