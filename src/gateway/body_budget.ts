/**
 * Memory for the bodies of requests that a process reads or holds at once.
 *
 * @module
 */

/** Most bytes of large bodies that are held, and still to come, at once. */
const MAX_LARGE_BYTES = 64 * 1024 * 1024;
/** The same for small bodies. */
const MAX_SMALL_BYTES = 16 * 1024 * 1024;
/**
 * Largest small body, in bytes. Small ones have a budget of their own: callers
 * that send large bodies slowly do not keep them out.
 */
const SMALL_BYTES = 64 * 1024;

/** Bytes that are reserved for the bodies of all requests in hand. */
export class BodyBudget {
  #smallBytes = 0;
  #largeBytes = 0;

  /** Replaces a reservation; false, and no change, when there is no room. */
  tryReplace(from: number, to: number): boolean {
    const smallBytes = this.#smallBytes - smallPart(from) + smallPart(to);
    const largeBytes = this.#largeBytes - largePart(from) + largePart(to);
    const hasRoom = smallBytes <= MAX_SMALL_BYTES &&
      largeBytes <= MAX_LARGE_BYTES;
    if (to > from && !hasRoom) return false;
    this.#smallBytes = smallBytes;
    this.#largeBytes = largeBytes;
    return true;
  }
}

function smallPart(bytes: number): number {
  return bytes <= SMALL_BYTES ? bytes : 0;
}

function largePart(bytes: number): number {
  return bytes <= SMALL_BYTES ? 0 : bytes;
}

/** The body of one request: its bytes, and the memory reserved for it. */
export class IncomingBody {
  readonly #budget: BodyBudget;
  readonly #chunks: Buffer[] = [];
  #reservedBytes = 0;
  #bytes = 0;

  constructor(budget: BodyBudget) {
    this.#budget = budget;
  }

  /** Number of bytes that have arrived. */
  get length(): number {
    return this.#bytes;
  }

  /** Reserves memory for a body of a stated length; false without room. */
  tryReserve(bytes: number): boolean {
    if (!(bytes > this.#reservedBytes)) return true;
    if (!this.#budget.tryReplace(this.#reservedBytes, bytes)) return false;
    this.#reservedBytes = bytes;
    return true;
  }

  /** Adds a chunk; false when there is no room for it. */
  tryAdd(chunk: Buffer): boolean {
    if (!this.tryReserve(this.#bytes + chunk.length)) return false;
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    return true;
  }

  /** Returns the bytes and keeps no second copy of them. */
  take(): Buffer {
    const body = Buffer.concat(this.#chunks);
    this.#chunks.length = 0;
    return body;
  }

  /** Drops the bytes; what was reserved is free again. */
  release(): void {
    this.#chunks.length = 0;
    this.#budget.tryReplace(this.#reservedBytes, 0);
    this.#reservedBytes = 0;
  }
}
