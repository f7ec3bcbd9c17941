/**
 * Group commit: conditional writes that are requested while a transaction is in
 * flight share the next one.
 *
 * The first write of an idle process is sent at once, so that grouping adds no
 * latency. After a lost response the row is read back, and the write is sent
 * again if it has not taken effect. That is safe because the version check
 * fails if the write has been applied by then.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { canonicalJson } from "../model/mod.ts";
import {
  type CommitResult,
  PlatformError,
  PlatformErrorKind,
  type Row,
  type Table,
} from "../store/mod.ts";

/** One conditional write. */
export interface RowWrite {
  readonly key: string;
  /** Version that the row must have; zero when it must be absent. */
  readonly version: number;
  readonly value: unknown;
}

/** Result of a write. `row` is the row that is stored afterwards. */
export interface WriteResult {
  readonly written: boolean;
  readonly row: Row;
}

/** Options of a {@linkcode GroupCommit}. */
export interface GroupCommitOptions {
  /** Largest number of writes in one transaction. */
  readonly maxGroupSize?: number;
}

interface Pending {
  readonly write: RowWrite;
  /** Monotonic time from which the write is no longer sent. */
  readonly expiresAt: number;
  /** True once a response was lost, since the write may still take effect. */
  readonly mayHaveApplied: boolean;
  readonly settle: (result: Result<WriteResult, PlatformError>) => void;
}

const MAX_GROUP_SIZE = 64;
/** Time within which a write may be queued and sent again, in milliseconds. */
const RESEND_WINDOW_MS = 1_000;
/** Bounds of the pause between transactions under a rate limit, in ms. */
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 100;
/** Factor by which the pause shrinks after a transaction without an error. */
const PAUSE_DECAY = 0.9;

/** Groups the conditional writes of one process into transactions. */
export class GroupCommit {
  readonly #table: Table;
  readonly #maxGroupSize: number;
  #queue: readonly Pending[] = [];
  #flushing = false;
  /**
   * Pause between transactions. It grows while the rate limit rejects them, so
   * that fewer and larger ones are sent and no process starves another.
   */
  #pauseMs = 0;

  constructor(table: Table, opts: GroupCommitOptions = {}) {
    this.#table = table;
    this.#maxGroupSize = opts.maxGroupSize ?? MAX_GROUP_SIZE;
  }

  /** Writes a row if it has the version given in the write. */
  write(write: RowWrite): Promise<Result<WriteResult, PlatformError>> {
    return new Promise((settle) => {
      const expiresAt = monotonicMs() + RESEND_WINDOW_MS;
      this.#queue = [...this.#queue, {
        write,
        expiresAt,
        mayHaveApplied: false,
        settle,
      }];
      setTimeout(() => this.#expire(), RESEND_WINDOW_MS + 1).unref();
      if (!this.#flushing) void this.#flush();
    });
  }

  /** Fails the queued writes that expired behind a slow transaction. */
  #expire(): void {
    this.#queue = failExpired(this.#queue, expiredError());
  }

  async #flush(): Promise<void> {
    this.#flushing = true;
    while (this.#queue.length > 0) {
      const group = this.#takeGroup();
      const unsettled = await this.#commit(group);
      this.#queue = [...unsettled, ...this.#queue];
      if (this.#pauseMs > 0) await sleep(this.#pauseMs * (0.5 + Math.random()));
    }
    this.#flushing = false;
  }

  /** Removes the next group from the queue, with at most one write per row. */
  #takeGroup(): readonly Pending[] {
    const group = new Map<string, Pending>();
    const rest: Pending[] = [];
    this.#queue.forEach((pending) => {
      const { key } = pending.write;
      const fits = group.size < this.#maxGroupSize && !group.has(key);
      if (fits) group.set(key, pending);
      else rest.push(pending);
    });
    this.#queue = rest;
    return [...group.values()];
  }

  /** Commits a group; returns the writes that have to be sent again. */
  async #commit(group: readonly Pending[]): Promise<readonly Pending[]> {
    const result = await this.#table.commit({
      checks: group.map(({ write: { key, version } }) => ({ key, version })),
      puts: group.map(({ write: { key, value } }) => ({ key, value })),
    });
    if (result.isErr()) return await this.#onCommitFailed(group, result.error);
    this.#shortenPause();
    return settleGroup(group, reportedRows(result.value));
  }

  #shortenPause(): void {
    const pauseMs = this.#pauseMs * PAUSE_DECAY;
    this.#pauseMs = pauseMs < 1 ? 0 : pauseMs;
  }

  #lengthenPause(): void {
    const pauseMs = Math.max(MIN_PAUSE_MS, this.#pauseMs * 2);
    this.#pauseMs = Math.min(MAX_PAUSE_MS, pauseMs);
  }

  async #onCommitFailed(
    group: readonly Pending[],
    error: PlatformError,
  ): Promise<readonly Pending[]> {
    if (error.kind === PlatformErrorKind.RateLimited) {
      this.#lengthenPause();
      return failExpired(group, error);
    }
    if (!error.mayHaveApplied) return failWrites(group, error);
    const rows = await this.#table.read(group.map(({ write }) => write.key));
    const uncertain = group.map((one) => ({ ...one, mayHaveApplied: true }));
    if (rows.isErr()) return failWrites(uncertain, error);
    const unsettled = settleGroup(
      uncertain,
      rows.value.filter((row, i) => row.version !== group[i]?.write.version),
    );
    return failExpired(unsettled, error);
  }
}

/** Returns the rows whose state the result of a transaction reports. */
function reportedRows(result: CommitResult): readonly Row[] {
  return result.committed ? result.rows : result.conflicts;
}

/**
 * Settles the writes whose rows are given and returns the others. A write
 * counts as written if the row has its value.
 */
function settleGroup(
  group: readonly Pending[],
  rows: readonly Row[],
): readonly Pending[] {
  const byKey = new Map(rows.map((row) => [row.key, row]));
  return group.filter(({ write, settle }) => {
    const row = byKey.get(write.key);
    if (!row) return true;
    const written = canonicalJson(row.value) === canonicalJson(write.value);
    settle(ok({ written, row }));
    return false;
  });
}

function failWrites(group: readonly Pending[], error: PlatformError): [] {
  group.forEach(({ settle, mayHaveApplied }) =>
    settle(err(mayHaveApplied ? unansweredError(error) : error))
  );
  return [];
}

function failExpired(
  group: readonly Pending[],
  error: PlatformError,
): readonly Pending[] {
  const now = monotonicMs();
  failWrites(group.filter(({ expiresAt }) => expiresAt <= now), error);
  return group.filter(({ expiresAt }) => expiresAt > now);
}

function unansweredError(error: PlatformError): PlatformError {
  return new PlatformError(PlatformErrorKind.Unanswered, error.message);
}

function expiredError(): PlatformError {
  return new PlatformError(
    PlatformErrorKind.RateLimited,
    `Not sent within ${RESEND_WINDOW_MS} ms`,
  );
}
