/**
 * Writes the origins of streams to the store, and reads those that no entry
 * knows any more: entries that all end together lose what they keep for each
 * other.
 *
 * @module
 */

import { createHash, randomUUID } from "node:crypto";
import {
  every,
  monotonicMs,
  SharedRun,
  sleep,
  timeoutSignal,
} from "../kernel/mod.ts";
import {
  MAX_ORIGINS,
  ORIGIN_TTL_MS,
  type RouteAddress,
  type StreamOrigin,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { OriginWriters } from "./origin_writers.ts";
import type { OriginsRead, OriginStore, StoredOrigin } from "./ports.ts";

/** Pause between checks for origins to write, in milliseconds. */
const CHECK_PAUSE_MS = 100;
/** Shortest pause between two writes of one entry, in milliseconds. */
const MIN_WRITE_PAUSE_MS = 500;
/**
 * Share of that pause for each entry that writes, in milliseconds: all together
 * write up to 100 times a second.
 */
const WRITE_PAUSE_PER_WRITER_MS = 10;
/** Shortest pause between two writes while a stream waits for its record. */
const MIN_URGENT_PAUSE_MS = 150;
/** Longest wait for the response to a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_500;
/**
 * Longest time for which a stream waits for its record once that may be written,
 * in milliseconds: its caller sees no event meanwhile.
 */
const RECORD_WAIT_MS = 500;
/** Longest wait for the stored origins, in milliseconds. */
const READ_TIMEOUT_MS = 500;
/** Age up to which origins that were read are used again, in milliseconds. */
const READ_TTL_MS = 1_000;
/** Pause between reads for streams that have no record, in milliseconds. */
const READ_PAUSE_MS = 200;
/**
 * Most origins of one row, and longest identifier in it, which bound its size; a
 * longer identifier is stored as its digest.
 */
const MAX_ROW_ORIGINS = 500;
const MAX_STREAM_CHARS = 100;
/** Digits of the number of a row, by which the rows of one start are ordered. */
const ROW_DIGITS = 10;
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
  /** Entries that write, and the one that writes for this process. */
  readonly writers: Pick<OriginWriters, "choose" | "count" | "send">;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Origin that this process has recorded or is about to. */
interface Recorded {
  readonly origin: StreamOrigin;
  /** Monotonic time of the write; undefined until the store has it. */
  readonly writtenAt?: number;
}

/** What the store says of a stream. */
export interface StoredFinding {
  readonly origin?: StreamOrigin;
  /** True when `origin` is that of streams without a record. */
  readonly isDefault: boolean;
}

/** What was read of the store. */
interface Reading {
  readonly origins: ReadonlyMap<string, StreamOrigin>;
  /** Undefined when the store did not answer. */
  readonly read?: OriginsRead;
}

/** Origins of streams in the store. */
export class StoredOrigins {
  readonly #deps: StoredOriginsDeps;
  /** Origins that the store does not have yet, by stream. */
  readonly #pending = new Map<string, StreamOrigin>();
  /** Streams of the row that is being written. */
  #inFlight: ReadonlySet<string> = new Set();
  /** Origins that the store has or that are pending, by stream. */
  readonly #recorded = new Map<string, Recorded>();
  /** Streams of others that this process is to write itself. */
  readonly #forOthers = new Set<string>();
  /** Streams that wait for their records. */
  readonly #waiting = new Map<string, (() => void)[]>();
  /** Differs after each start: rows of an earlier one are still needed. */
  readonly #start = randomUUID();
  #writes = 0;
  /**
   * Rows to remove once their origins have expired, and the monotonic times of
   * their writes.
   */
  readonly #rows = new Map<string, number>();
  #lastWriteAt = Number.NEGATIVE_INFINITY;
  /** True while a stream waits, or will wait, for a pending origin. */
  #isUrgent = false;
  /** False since a write has failed. */
  #isReachable = true;
  #signal: AbortSignal | undefined;
  #reading: Promise<Reading> | undefined;
  #readAt = Number.NEGATIVE_INFINITY;
  readonly #reads = new SharedRun(() => this.#startRead(), {
    pauseMs: READ_PAUSE_MS,
  });

  constructor(deps: StoredOriginsDeps) {
    this.#deps = deps;
  }

  /**
   * Adds the origin of a stream to what has to be written. While the store is
   * away, the oldest are discarded, as they expire.
   */
  add(stream: string, origin: StreamOrigin): void {
    const key = keyOf(stream);
    this.#pending.delete(key);
    this.#pending.set(key, origin);
    this.#remember(key, { origin });
    if (this.#pending.size <= MAX_ORIGINS) return;
    const [oldest] = this.#pending.keys();
    if (oldest !== undefined) this.#pending.delete(oldest);
  }

  /** Adds the origin that a stream is about to have, and writes it soon. */
  expect(stream: string, origin: StreamOrigin): void {
    if (this.#isKnown(keyOf(stream), origin)) return;
    this.add(stream, origin);
    this.#isUrgent = true;
    // Streams that are sent in the same turn share a row.
    queueMicrotask(() => this.#writeIfDue());
  }

  /**
   * Records the origin of a stream whose first event has arrived. Resolves when
   * the store has it, or does not accept it in time; undefined when there is
   * nothing to wait for.
   */
  record(stream: string, origin: StreamOrigin): Promise<void> | undefined {
    this.expect(stream, origin);
    const key = keyOf(stream);
    if (this.#recorded.get(key)?.writtenAt !== undefined) return undefined;
    if (!this.#isReachable) {
      this.#countWait("skipped");
      return undefined;
    }
    return this.#waitFor(key);
  }

  /** Records origins for another entry; true once the store has all of them. */
  async recordFor(origins: readonly StoredOrigin[]): Promise<boolean> {
    origins.forEach(({ stream }) => this.#forOthers.add(keyOf(stream)));
    await Promise.all(
      origins.map(({ stream, ...origin }) => this.record(stream, origin)),
    );
    return origins.every(({ stream, ...origin }) => {
      const recorded = this.#recorded.get(keyOf(stream));
      return recorded?.writtenAt !== undefined &&
        isSameOrigin(recorded.origin, origin);
    });
  }

  /** True when this process has recorded an origin of a stream. */
  hasRecord(stream: string): boolean {
    return this.#recorded.has(keyOf(stream));
  }

  /** Forgets what the store has, which may have lost it. */
  forget(): void {
    this.#recorded.clear();
  }

  /** Writes what is added until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#signal = signal;
    every(CHECK_PAUSE_MS, () => {
      this.#writeIfDue();
      return Promise.resolve();
    }, signal);
  }

  /** Returns the stored origin of a stream; undefined if there is none. */
  async find(stream: string): Promise<StreamOrigin | undefined> {
    return (await this.#readLately()).origins.get(keyOf(stream));
  }

  /**
   * Returns what the store says of a stream after monotonic time `since`, with
   * the origin of streams that have no record; undefined when it does not
   * answer.
   */
  async findSince(
    since: number,
    { stream, route }: { stream: string; route: RouteAddress },
  ): Promise<StoredFinding | undefined> {
    const { origins, read } = this.#reading && this.#readAt > since
      ? await this.#reading
      : await this.#reads.run();
    if (!read) return undefined;
    const origin = origins.get(keyOf(stream));
    if (origin) return { origin, isDefault: false };
    const { era, row } = read.defaults;
    return row?.defaults.era === era
      ? { origin: row.defaults.of(stream, route), isDefault: true }
      : { isDefault: false };
  }

  #isKnown(key: string, origin: StreamOrigin): boolean {
    const recorded = this.#recorded.get(key);
    if (!recorded || !isSameOrigin(recorded.origin, origin)) return false;
    const { writtenAt } = recorded;
    if (writtenAt !== undefined) {
      return monotonicMs() < writtenAt + ORIGIN_TTL_MS / 2;
    }
    return this.#inFlight.has(key) ||
      this.#pending.has(key) && this.#isUrgent;
  }

  /** The oldest records are discarded first. */
  #remember(key: string, recorded: Recorded): void {
    this.#recorded.delete(key);
    this.#recorded.set(key, recorded);
    if (this.#recorded.size <= MAX_ORIGINS) return;
    const [oldest] = this.#recorded.keys();
    if (oldest !== undefined) this.#recorded.delete(oldest);
  }

  async #waitFor(key: string): Promise<void> {
    const startedAt = monotonicMs();
    const written = new Promise<void>((resolve) =>
      this.#waiting.set(key, [...this.#waiting.get(key) ?? [], resolve])
    );
    const timeout = new AbortController();
    const isInTime = await Promise.race([
      written.then(() => true),
      sleep(this.#recordWaitMs, timeout.signal).then(() => false),
    ]);
    timeout.abort();
    const isWritten = this.#recorded.get(key)?.writtenAt !== undefined;
    if (!isInTime) this.#waiting.delete(key);
    this.#countWait(isWritten ? "recorded" : "unrecorded");
    this.#deps.metrics.durations("origin_record_wait_ms")
      .record(monotonicMs() - startedAt);
  }

  #countWait(outcome: string): void {
    this.#deps.metrics.count("origin_record_waits_total", { outcome });
  }

  #writeIfDue(): void {
    const signal = this.#signal;
    if (!signal || signal.aborted || this.#inFlight.size > 0) return;
    if (this.#pending.size === 0) return;
    const pauseMs = this.#isUrgent && this.#isReachable
      ? Math.max(MIN_URGENT_PAUSE_MS, this.#sharePauseMs)
      : Math.max(MIN_WRITE_PAUSE_MS, this.#sharePauseMs);
    const waitMs = this.#lastWriteAt + pauseMs - monotonicMs();
    if (waitMs <= 0) void this.#write(signal);
  }

  /** Pause between writes by this entry's share of all, in milliseconds. */
  get #sharePauseMs(): number {
    return WRITE_PAUSE_PER_WRITER_MS * this.#deps.writers.count;
  }

  /** Longest wait for a record; the last write may just have begun. */
  get #recordWaitMs(): number {
    return RECORD_WAIT_MS +
      Math.max(0, this.#sharePauseMs - MIN_URGENT_PAUSE_MS);
  }

  async #write(signal: AbortSignal): Promise<void> {
    const { writers, metrics } = this.#deps;
    this.#lastWriteAt = monotonicMs();
    const origins = [...this.#pending].slice(0, MAX_ROW_ORIGINS)
      .map(([stream, origin]) => ({ stream, ...origin }));
    origins.forEach(({ stream }) => this.#pending.delete(stream));
    this.#inFlight = new Set(origins.map(({ stream }) => stream));
    if (this.#pending.size === 0) this.#isUrgent = false;
    const isForOthers = origins.some(({ stream }) =>
      this.#forOthers.has(stream)
    );
    this.#forOthers.clear();
    const writer = isForOthers ? undefined : writers.choose();
    const isRelayed = writer !== undefined &&
      await writers.send(writer, origins, signal);
    const isWritten = isRelayed || await this.#writeRow(origins, signal);
    this.#inFlight = new Set();
    const outcome = isWritten ? "ok" : "failed";
    metrics.count("origin_rows_streams_total", { outcome }, origins.length);
    this.#isReachable = isWritten;
    if (isWritten) this.#recordWritten(origins);
    else this.#addAgain(origins);
    origins.forEach(({ stream }) => this.#release(stream));
    this.#writeIfDue();
  }

  /** Writes one row; false when the store does not accept it. */
  async #writeRow(
    origins: readonly StoredOrigin[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { store, self, log, metrics } = this.#deps;
    const now = monotonicMs();
    const number = String(this.#writes++).padStart(ROW_DIGITS, "0");
    const key = `${self}/${this.#start}/${number}`;
    const ended = this.#endedRows(now);
    const written = await store.write(
      { key, writtenAtMs: Date.now(), origins },
      ended,
      timeoutSignal(WRITE_TIMEOUT_MS, signal),
    );
    metrics.count("origin_rows_total", {
      outcome: written.isOk() ? "ok" : "failed",
    });
    // A write without a response may have been done.
    this.#rows.set(key, now);
    if (written.isOk()) {
      ended.forEach((key) => this.#rows.delete(key));
      return true;
    }
    log.warn("origins_not_stored", {
      count: origins.length,
      reason: written.error.kind,
    });
    return false;
  }

  /** Records that the store has origins, unless they have changed meanwhile. */
  #recordWritten(origins: readonly StoredOrigin[]): void {
    const writtenAt = monotonicMs();
    origins.forEach(({ stream, ...origin }) => {
      const recorded = this.#recorded.get(stream);
      if (!recorded || !isSameOrigin(recorded.origin, origin)) return;
      this.#recorded.set(stream, { origin, writtenAt });
    });
  }

  /** Lets a stream go on that has waited, unless its record is still to come. */
  #release(key: string): void {
    const isPending = this.#pending.has(key) && this.#isReachable;
    if (isPending) return;
    this.#waiting.get(key)?.forEach((resolve) => resolve());
    this.#waiting.delete(key);
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
    origins.filter(({ stream }) => !this.#pending.has(stream))
      .slice(0, Math.max(0, MAX_ROW_ORIGINS - this.#pending.size))
      .forEach(({ stream, pool, build }) =>
        this.#pending.set(stream, { pool, build })
      );
  }

  /** Reads all stored origins, once for all requests of a short time. */
  #readLately(): Promise<Reading> {
    const isRecent = monotonicMs() < this.#readAt + READ_TTL_MS;
    return this.#reading && isRecent ? this.#reading : this.#startRead();
  }

  #startRead(): Promise<Reading> {
    this.#readAt = monotonicMs();
    this.#reading = this.#readStore();
    return this.#reading;
  }

  async #readStore(): Promise<Reading> {
    const { store, log } = this.#deps;
    const result = await store.read(timeoutSignal(READ_TIMEOUT_MS));
    if (result.isErr()) {
      log.warn("stored_origins_unread", { reason: result.error.kind });
      return { origins: new Map() };
    }
    const read = result.value;
    const { rows, defaults } = read;
    const origins = rows.flatMap(({ origins }) => origins);
    log.info("stored_origins_read", {
      rows: rows.length,
      count: origins.length,
      era: defaults.era,
      defaultsVersion: defaults.row?.version ?? 0,
      defaultsEra: defaults.row?.defaults.era,
    });
    rows.filter(({ writtenAtMs }) => Date.now() > writtenAtMs + MAX_ROW_AGE_MS)
      .forEach(({ key }) => this.#rows.set(key, Number.NEGATIVE_INFINITY));
    return {
      origins: new Map(
        origins.map(({ stream, pool, build }) => [stream, { pool, build }]),
      ),
      read,
    };
  }
}

function isSameOrigin(one: StreamOrigin, other: StreamOrigin): boolean {
  return one.pool === other.pool && one.build === other.build;
}

/** Name of a stream in the store. */
function keyOf(stream: string): string {
  return stream.length <= MAX_STREAM_CHARS
    ? stream
    : `sha256:${createHash("sha256").update(stream).digest("hex")}`;
}
