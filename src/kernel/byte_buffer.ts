/**
 * Buffer that grows by appending.
 *
 * @module
 */

const EMPTY: Buffer = Buffer.alloc(0);
/** Smallest memory that a buffer of several chunks takes, in bytes. */
const MIN_CAPACITY_BYTES = 4 * 1024;

/**
 * Joins chunks in time proportional to their bytes, and in memory that does not
 * depend on the number of chunks. A single chunk is not copied.
 */
export class ByteBuffer {
  #memory: Buffer = EMPTY;
  #length = 0;

  get length(): number {
    return this.#length;
  }

  /** The bytes; later calls of `append` do not change them. */
  get bytes(): Buffer {
    return this.#memory.subarray(0, this.#length);
  }

  /** Appends; memory for `expected` bytes in all is taken at once. */
  append(chunk: Buffer, expected = 0): void {
    if (this.#length === 0) {
      this.replace(chunk);
      return;
    }
    const length = this.#length + chunk.length;
    if (length > this.#memory.length) {
      this.#grow(Math.max(length, expected));
    }
    chunk.copy(this.#memory, this.#length);
    this.#length = length;
  }

  /** Replaces all bytes. */
  replace(chunk: Buffer): void {
    this.#memory = chunk;
    this.#length = chunk.length;
  }

  clear(): void {
    this.replace(EMPTY);
  }

  #grow(length: number): void {
    const memory = Buffer.allocUnsafeSlow(
      Math.max(MIN_CAPACITY_BYTES, length, 2 * this.#length),
    );
    this.bytes.copy(memory);
    this.#memory = memory;
  }
}
