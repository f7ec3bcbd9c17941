/**
 * Memory for the bodies of requests that a process reads or holds at once.
 *
 * @module
 */

import { type ClientLimits, DEFAULT_CLIENT_LIMITS } from "../http/mod.ts";

/**
 * Largest small body, in bytes. Small ones have a budget of their own: callers
 * that send large bodies slowly do not keep them out.
 */
const SMALL_BYTES = 64 * 1024;

/** Memory that is taken for a small body, in bytes. */
const FIRST_BLOCK_BYTES = 4 * 1024;
/** Memory that is taken for a larger body at once, in bytes. */
const BLOCK_BYTES = 64 * 1024;
/** Blocks that are kept for later bodies; 4 MiB. */
const MAX_FREE_BLOCKS = 64;

/** Most bytes of bodies that are held, and still to come, at once. */
export type BodyLimits = Pick<
  ClientLimits,
  "largeBodyBytes" | "smallBodyBytes"
>;

/** Bytes that are reserved for the bodies of all requests in hand. */
export class BodyBudget {
  readonly #limits: BodyLimits;
  #smallBytes = 0;
  #largeBytes = 0;

  constructor(limits: BodyLimits = DEFAULT_CLIENT_LIMITS) {
    this.#limits = limits;
  }

  /** Replaces a reservation; false, and no change, when there is no room. */
  tryReplace(from: number, to: number): boolean {
    const smallBytes = this.#smallBytes - smallPart(from) + smallPart(to);
    const largeBytes = this.#largeBytes - largePart(from) + largePart(to);
    const { smallBodyBytes, largeBodyBytes } = this.#limits;
    const hasRoom = largeBytes <= largeBodyBytes &&
      smallBytes + largeBytes <= smallBodyBytes + largeBodyBytes;
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

/** The connection on which a body arrives. */
export interface BodyOwner {
  /** Records that more, or fewer, bytes are reserved. */
  reserved(bytes: number): void;
  /** Frees memory that other bodies hold, where they may be refused. */
  free(bytes: number): void;
}

/**
 * Memory for bodies in blocks, which are used again: V8 lets tens of megabytes
 * of buffers that are no longer used pile up.
 */
class BlockPool {
  readonly #free: Buffer[] = [];

  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  give(blocks: readonly Buffer[]): void {
    for (const block of blocks) {
      if (block.length < BLOCK_BYTES) continue;
      if (this.#free.length < MAX_FREE_BLOCKS) this.#free.push(block);
    }
  }
}

const POOL = new BlockPool();

/**
 * The body of one request: its bytes, and the memory reserved for it. Chunks are
 * copied, since each may keep far more memory than its bytes.
 */
export class IncomingBody {
  readonly #budget: BodyBudget;
  readonly #owner: BodyOwner | undefined;
  #blocks: Buffer[] = [];
  /** Bytes of the last block that are used. */
  #used = 0;
  #reservedBytes = 0;
  #bytes = 0;

  constructor(budget: BodyBudget, owner?: BodyOwner) {
    this.#budget = budget;
    this.#owner = owner;
  }

  /** Number of bytes that have arrived. */
  get length(): number {
    return this.#bytes;
  }

  /** Reserves memory for a body of a stated length; false without room. */
  tryReserve(bytes: number): boolean {
    if (!(bytes > this.#reservedBytes) || this.#tryReplace(bytes)) return true;
    this.#owner?.free(bytes - this.#reservedBytes);
    return this.#tryReplace(bytes);
  }

  /** Adds a chunk; false when there is no room for it. */
  tryAdd(chunk: Buffer): boolean {
    if (!this.tryReserve(this.#bytes + chunk.length)) return false;
    let rest = chunk;
    while (rest.length > 0) {
      const block = this.#blockWithRoom(rest.length);
      const copied = rest.copy(block, this.#used);
      this.#used += copied;
      rest = rest.subarray(copied);
    }
    this.#bytes += chunk.length;
    return true;
  }

  /** Returns the bytes and keeps no second copy of them. */
  take(): Buffer {
    const body = Buffer.concat(this.#blocks, this.#bytes);
    this.#drop();
    return body;
  }

  /** Drops the bytes; what was reserved is free again. */
  release(): void {
    this.#drop();
    this.#tryReplace(0);
  }

  #drop(): void {
    POOL.give(this.#blocks);
    this.#blocks = [];
    this.#used = 0;
  }

  #tryReplace(bytes: number): boolean {
    if (!this.#budget.tryReplace(this.#reservedBytes, bytes)) return false;
    this.#owner?.reserved(bytes - this.#reservedBytes);
    this.#reservedBytes = bytes;
    return true;
  }

  /** Returns the last block, or a new one for `bytes` if it is full. */
  #blockWithRoom(bytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#used < last.length) return last;
    const isSmall = this.#blocks.length === 0 && bytes <= FIRST_BLOCK_BYTES;
    const block = isSmall
      ? Buffer.allocUnsafeSlow(FIRST_BLOCK_BYTES)
      : POOL.take();
    this.#blocks.push(block);
    this.#used = 0;
    return block;
  }
}
