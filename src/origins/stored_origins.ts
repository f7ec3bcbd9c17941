/**
 * Writes the origins of streams to the store, and reads those that no entry
 * knows any more: entries that all end together lose what they keep for each
 * other.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { every, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  MAX_ORIGINS,
  ORIGIN_TTL_MS,
  type StreamOrigin,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { OriginStore, StoredOrigin } from "./ports.ts";

/** Pause between checks for origins to write, in milliseconds. */
const CHECK_PAUSE_MS = 100;
/** Shortest pause between two writes of one entry, in milliseconds. */
const MIN_WRITE_PAUSE_MS = 500;
/**
 * Share of that pause for each entry, in milliseconds: all entries together
 * write up to 100 times a second.
 */
const WRITE_PAUSE_PER_ENTRY_MS = 10;
/** Longest wait for the response to a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_500;
/** Longest wait for the stored origins, in milliseconds. */
const READ_TIMEOUT_MS = 500;
/** Age up to which origins that were read are used again, in milliseconds. */
const READ_TTL_MS = 1_000;
/** Most origins of one row, and longest identifier, which bound its size. */
const MAX_ROW_ORIGINS = 500;
const MAX_STREAM_CHARS = 100;
/** Most rows that one write removes, a limit of transactions. */
const MAX_REMOVED_ROWS = 90;
/**
 * Age from which a row of any entry is removed, in milliseconds: well above the
 * life of an origin and the differences between clocks.
 */
const MAX_ROW_AGE_MS = 600_000;

/** Services that the stored origins use. */
export interface StoredOriginsDeps {
  readonly store: OriginStore;
  /** Name of this process. */
  readonly self: string;
  /** Number of registered entries. */
  entries(): number;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Origins of streams in the store. */
export class StoredOrigins {
  readonly #deps: StoredOriginsDeps;
  /** Origins that the store does not have yet, by stream. */
  readonly #pending = new Map<string, StreamOrigin>();
  /** Differs after each start: rows of an earlier one are still needed. */
  readonly #start = randomUUID();
  #writes = 0;
  /**
   * Rows to remove once their origins have expired, and the monotonic times of
   * their writes.
   */
  readonly #rows = new Map<string, number>();
  #mayWriteAt = 0;
  #read: Promise<ReadonlyMap<string, StreamOrigin>> | undefined;
  #readAt = Number.NEGATIVE_INFINITY;

  constructor(deps: StoredOriginsDeps) {
    this.#deps = deps;
  }

  /**
   * Adds the origin of a stream to what has to be written. While the store is
   * away, the oldest are discarded, as they expire.
   */
  add(stream: string, origin: StreamOrigin): void {
    if (stream.length > MAX_STREAM_CHARS) return;
    this.#pending.delete(stream);
    this.#pending.set(stream, origin);
    if (this.#pending.size <= MAX_ORIGINS) return;
    const [oldest] = this.#pending.keys();
    if (oldest !== undefined) this.#pending.delete(oldest);
  }

  /** Writes what is added until `signal` aborts. */
  run(signal: AbortSignal): void {
    every(CHECK_PAUSE_MS, () => this.#round(signal), signal);
  }

  /** Returns the stored origin of a stream; undefined if there is none. */
  async find(stream: string): Promise<StreamOrigin | undefined> {
    return (await this.#readAll()).get(stream);
  }

  async #round(signal: AbortSignal): Promise<void> {
    const now = monotonicMs();
    if (this.#pending.size === 0 || now < this.#mayWriteAt) return;
    const { store, self, entries, log, metrics } = this.#deps;
    this.#mayWriteAt = now +
      Math.max(MIN_WRITE_PAUSE_MS, WRITE_PAUSE_PER_ENTRY_MS * entries());
    const origins = [...this.#pending].slice(0, MAX_ROW_ORIGINS)
      .map(([stream, origin]) => ({ stream, ...origin }));
    origins.forEach(({ stream }) => this.#pending.delete(stream));
    const key = `${self}/${this.#start}/${this.#writes++}`;
    const ended = this.#endedRows(now);
    const written = await store.write(
      { key, writtenAtMs: Date.now(), origins },
      ended,
      timeoutSignal(WRITE_TIMEOUT_MS, signal),
    );
    const outcome = written.isOk() ? "ok" : "failed";
    metrics.count("origin_rows_total", { outcome });
    // A write without a response may have been done.
    this.#rows.set(key, now);
    if (written.isOk()) {
      ended.forEach((key) => this.#rows.delete(key));
      return;
    }
    log.warn("origins_not_stored", {
      count: origins.length,
      reason: written.error.kind,
    });
    this.#addAgain(origins);
  }

  /** Rows whose origins have expired. */
  #endedRows(now: number): readonly string[] {
    return [...this.#rows]
      .filter(([, writtenAt]) => now >= writtenAt + ORIGIN_TTL_MS)
      .map(([key]) => key)
      .slice(0, MAX_REMOVED_ROWS);
  }

  /** Adds origins whose write has failed, unless newer ones fill a row. */
  #addAgain(origins: readonly StoredOrigin[]): void {
    origins.slice(0, Math.max(0, MAX_ROW_ORIGINS - this.#pending.size))
      .forEach(({ stream, pool, build }) =>
        this.#pending.set(stream, { pool, build })
      );
  }

  /** Reads all stored origins, once for all requests of a short time. */
  #readAll(): Promise<ReadonlyMap<string, StreamOrigin>> {
    const now = monotonicMs();
    if (this.#read && now < this.#readAt + READ_TTL_MS) return this.#read;
    this.#readAt = now;
    this.#read = this.#readStore();
    return this.#read;
  }

  async #readStore(): Promise<ReadonlyMap<string, StreamOrigin>> {
    const { store, log } = this.#deps;
    const read = await store.read(timeoutSignal(READ_TIMEOUT_MS));
    if (read.isErr()) {
      log.warn("stored_origins_unread", { reason: read.error.kind });
      return new Map();
    }
    const rows = read.value;
    const origins = rows.flatMap(({ origins }) => origins);
    log.info("stored_origins_read", {
      rows: rows.length,
      count: origins.length,
    });
    rows.filter(({ writtenAtMs }) => Date.now() > writtenAtMs + MAX_ROW_AGE_MS)
      .forEach(({ key }) => this.#rows.set(key, Number.NEGATIVE_INFINITY));
    return new Map(
      origins.map(({ stream, pool, build }) => [stream, { pool, build }]),
    );
  }
}
