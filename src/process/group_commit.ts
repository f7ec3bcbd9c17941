/**
 * Group commit: conditional writes that are asked for while a transaction is
 * under way share the next one.
 *
 * The first write of an idle process is sent at once, so that grouping adds no
 * wait. A write whose answer was lost is read back, and sent again when it did
 * not take effect; that is safe because its version check fails the second
 * time.
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

/** Answer to a write. `row` is the row as it stands afterwards. */
export interface WriteResult {
  readonly written: boolean;
  readonly row: Row;
}

/** Options of a {@linkcode GroupCommit}. */
export interface GroupCommitOptions {
  /** Most writes in one transaction. */
  readonly maxGroup?: number;
}

interface Pending {
  readonly write: RowWrite;
  /** Monotonic time after which the write is not sent again. */
  readonly until: number;
  /** True once an answer was lost, since the write may still take effect. */
  readonly doubtful: boolean;
  readonly settle: (result: Result<WriteResult, PlatformError>) => void;
}

const MAX_GROUP = 64;
/** Time in which a write may wait and be sent again, in milliseconds. */
const RESEND_MS = 1_000;
/** Bounds of the pause between transactions under a rate limit, in ms. */
const SHORTEST_PACE_MS = 5;
const LONGEST_PACE_MS = 100;
/** Share of the pause that is left after each transaction that went through. */
const PACE_DECAY = 0.9;

/** Writer of one process. */
export class GroupCommit {
  readonly #table: Table;
  readonly #maxGroup: number;
  #waiting: readonly Pending[] = [];
  #flushing = false;
  /**
   * Pause between transactions. It grows while the rate limit turns them away,
   * so that fewer and larger ones are sent and no process starves another.
   */
  #paceMs = 0;

  constructor(table: Table, opts: GroupCommitOptions = {}) {
    this.#table = table;
    this.#maxGroup = opts.maxGroup ?? MAX_GROUP;
  }

  /** Writes a row if it has the version that the write names. */
  write(write: RowWrite): Promise<Result<WriteResult, PlatformError>> {
    return new Promise((settle) => {
      const until = monotonicMs() + RESEND_MS;
      this.#waiting = [...this.#waiting, {
        write,
        until,
        doubtful: false,
        settle,
      }];
      setTimeout(() => this.#expire(), RESEND_MS + 1).unref();
      if (!this.#flushing) void this.#flush();
    });
  }

  /** Gives up what waited too long, while another transaction takes long. */
  #expire(): void {
    this.#waiting = giveUpLate(this.#waiting, waitedTooLong());
  }

  async #flush(): Promise<void> {
    this.#flushing = true;
    while (this.#waiting.length > 0) {
      const group = this.#takeGroup();
      const left = await this.#commit(group);
      this.#waiting = [...left, ...this.#waiting];
      if (this.#paceMs > 0) await sleep(this.#paceMs * (0.5 + Math.random()));
    }
    this.#flushing = false;
  }

  /** Takes the next group, with at most one write for each row. */
  #takeGroup(): readonly Pending[] {
    const group = new Map<string, Pending>();
    const rest: Pending[] = [];
    this.#waiting.forEach((pending) => {
      const { key } = pending.write;
      const fits = group.size < this.#maxGroup && !group.has(key);
      if (fits) group.set(key, pending);
      else rest.push(pending);
    });
    this.#waiting = rest;
    return [...group.values()];
  }

  /** Commits a group; gives the writes that have to be sent again. */
  async #commit(group: readonly Pending[]): Promise<readonly Pending[]> {
    const result = await this.#table.commit({
      checks: group.map(({ write: { key, version } }) => ({ key, version })),
      puts: group.map(({ write: { key, value } }) => ({ key, value })),
    });
    if (result.isErr()) return await this.#afterFailure(group, result.error);
    this.#speedUp();
    return settleGroup(group, rowsOf(result.value));
  }

  #speedUp(): void {
    const paceMs = this.#paceMs * PACE_DECAY;
    this.#paceMs = paceMs < 1 ? 0 : paceMs;
  }

  #slowDown(): void {
    const paceMs = Math.max(SHORTEST_PACE_MS, this.#paceMs * 2);
    this.#paceMs = Math.min(LONGEST_PACE_MS, paceMs);
  }

  async #afterFailure(
    group: readonly Pending[],
    failure: PlatformError,
  ): Promise<readonly Pending[]> {
    if (failure.kind === PlatformErrorKind.RateLimited) {
      this.#slowDown();
      return giveUpLate(group, failure);
    }
    if (!failure.mayHaveApplied) return giveUp(group, failure);
    const rows = await this.#table.read(group.map(({ write }) => write.key));
    const doubtful = group.map((one) => ({ ...one, doubtful: true }));
    if (rows.isErr()) return giveUp(doubtful, failure);
    const left = settleGroup(
      doubtful,
      rows.value.filter((row, i) => row.version !== group[i]?.write.version),
    );
    return giveUpLate(left, failure);
  }
}

/** Rows about which the answer to a transaction says something. */
function rowsOf(result: CommitResult): readonly Row[] {
  return result.committed ? result.rows : result.conflicts;
}

/** Settles the writes whose rows are given; gives the others. */
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

function giveUp(group: readonly Pending[], failure: PlatformError): [] {
  group.forEach(({ settle, doubtful }) =>
    settle(err(doubtful ? unanswered(failure) : failure))
  );
  return [];
}

function giveUpLate(
  group: readonly Pending[],
  failure: PlatformError,
): readonly Pending[] {
  const now = monotonicMs();
  giveUp(group.filter(({ until }) => until <= now), failure);
  return group.filter(({ until }) => until > now);
}

function unanswered(failure: PlatformError): PlatformError {
  return new PlatformError(PlatformErrorKind.Unanswered, failure.message);
}

function waitedTooLong(): PlatformError {
  return new PlatformError(
    PlatformErrorKind.RateLimited,
    `Not sent within ${RESEND_MS} ms`,
  );
}
