/**
 * Frees the buffers of input and answers that are no longer used.
 *
 * V8 collects its young generation when that is full, and a buffer counts there
 * with some hundred bytes, however large its memory is. On a small host, 60 MB
 * of unused read buffers piled up before V8 took notice.
 *
 * @module
 */

import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { monotonicMs } from "../kernel/mod.ts";

/** Bytes of new buffers after which the unused ones are freed. */
const COLLECTED_BYTES = 8 * 1024 * 1024;
/** Shortest time between two collections, in ms; one takes 1 to 3 ms. */
const MIN_INTERVAL_MS = 25;

type Collect = (opts: { readonly type: "minor" }) => void;

/** Collects after every few megabytes of new buffers. */
export class BufferCollector {
  #bytes = 0;
  #collectedAt = 0;
  #collect: Collect | undefined;

  /** Counts a buffer that has been received. */
  received(bytes: number): void {
    this.#bytes += bytes;
    if (this.#bytes < COLLECTED_BYTES) return;
    const now = monotonicMs();
    if (now - this.#collectedAt < MIN_INTERVAL_MS) return;
    this.#bytes = 0;
    this.#collectedAt = now;
    this.#collect ??= exposeCollect();
    this.#collect({ type: "minor" });
  }
}

/** Returns V8's function, which new contexts have once the flag is set. */
function exposeCollect(): Collect {
  setFlagsFromString("--expose-gc");
  return runInNewContext("gc") as Collect;
}
