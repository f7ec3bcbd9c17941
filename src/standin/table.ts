/**
 * Stand-in for the platform's transactional table service.
 *
 * @module
 */

import { Hono } from "hono";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { sleep } from "../kernel/mod.ts";
import {
  type CommitResult,
  PlatformError,
  PlatformErrorKind,
  type Row,
  type ScanPage,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

const DEFAULT_PAGE = 1_000;
const MS_PER_S = 1_000;
/** Backlog of writes up to which the rate limit allows bursts, in ms. */
const BURST_MS = 100;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** Latency and limits of the table. */
export interface TableConfig {
  /** Latency of each call, in milliseconds. */
  readonly latencyMs: number;
  /** Writes per second above which commits are refused; 0 for no limit. */
  readonly writesPerS: number;
  /** Rows that count as one write; 0 counts each transaction as one write. */
  readonly rowsPerWrite: number;
}

/** Configuration without latency and limits. */
export const DEFAULT_TABLE: TableConfig = {
  latencyMs: 0,
  writesPerS: 0,
  rowsPerWrite: 0,
};

/** In-memory table service. */
export class MemoryTable implements Table {
  readonly #cfg: TableConfig;
  readonly #rows = new Map<string, Row>();
  #nextWriteAt = 0;
  /** Number of read and write calls, to be checked against call budgets. */
  readonly calls = { reads: 0, writes: 0 };

  constructor(cfg: Partial<TableConfig> = {}) {
    this.#cfg = { ...DEFAULT_TABLE, ...cfg };
  }

  read(keys: readonly string[]): ResultAsync<readonly Row[], PlatformError> {
    this.calls.reads += 1;
    return this.#delayed(() => okAsync(keys.map((key) => this.#row(key))));
  }

  scan(
    prefix: string,
    opts: { after?: string; limit?: number } = {},
  ): ResultAsync<ScanPage, PlatformError> {
    this.calls.reads += 1;
    return this.#delayed(() => okAsync(this.#page(prefix, opts)));
  }

  commit(tx: Transaction): ResultAsync<CommitResult, PlatformError> {
    this.calls.writes += 1;
    if (!this.#chargeWrites(tx.puts.length + (tx.deletes?.length ?? 0))) {
      return errAsync(
        new PlatformError(PlatformErrorKind.RateLimited, "Too many writes"),
      );
    }
    return this.#delayed(() => okAsync(this.#commit(tx)));
  }

  #page(
    prefix: string,
    opts: { after?: string; limit?: number },
  ): ScanPage {
    const limit = opts.limit ?? DEFAULT_PAGE;
    const keys = [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > (opts.after ?? ""))
      .sort();
    const rows = keys.slice(0, limit).map((key) => this.#row(key));
    const next = keys.length > limit ? rows.at(-1)?.key : undefined;
    return { rows, next };
  }

  #commit(tx: Transaction): CommitResult {
    const conflicts = tx.checks
      .filter(({ key, version }) => this.#row(key).version !== version)
      .map(({ key }) => this.#row(key));
    if (conflicts.length > 0) return { committed: false, conflicts };
    const rows = tx.puts.map(({ key, value }) => this.#put(key, value));
    tx.deletes?.forEach((key) => this.#rows.delete(key));
    return { committed: true, rows };
  }

  /** Charges a transaction to the write limit; false when it is exhausted. */
  #chargeWrites(rows: number): boolean {
    const { writesPerS, rowsPerWrite } = this.#cfg;
    if (writesPerS === 0) return true;
    const now = Date.now();
    const freeAt = Math.max(now, this.#nextWriteAt);
    if (freeAt - now > BURST_MS) return false;
    const writes = rowsPerWrite === 0 ? 1 : Math.ceil(rows / rowsPerWrite);
    this.#nextWriteAt = freeAt + writes * MS_PER_S / writesPerS;
    return true;
  }

  #delayed<T>(
    call: () => ResultAsync<T, PlatformError>,
  ): ResultAsync<T, PlatformError> {
    const { latencyMs } = this.#cfg;
    return latencyMs === 0
      ? call()
      : ResultAsync.fromSafePromise(sleep(latencyMs)).andThen(call);
  }

  #row(key: string): Row {
    return this.#rows.get(key) ?? { key, value: null, version: 0 };
  }

  #put(key: string, value: unknown): Row {
    const row = { key, value, version: this.#row(key).version + 1 };
    this.#rows.set(key, row);
    return row;
  }
}

/** Creates the HTTP interface of a table. */
export function createTableApp(
  table: Table,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/table/read", async (c) => {
    const { keys } = await c.req.json<{ keys: string[] }>();
    return respond(await table.read(keys));
  });
  app.post("/table/scan", async (c) => {
    const { prefix, ...page } = await c.req.json<
      { prefix: string; after?: string; limit?: number }
    >();
    return respond(await table.scan(prefix, page));
  });
  app.post("/table/commit", async (c) => {
    const tx = await c.req.json<Transaction>();
    return respond(await table.commit(tx));
  });
  return withFaults(app, opts);
}

function respond(
  result: Awaited<ReturnType<Table["scan" | "read" | "commit"]>>,
) {
  return result.match(
    (value) => Response.json(value),
    (err) =>
      Response.json({ kind: err.kind }, {
        status: err.kind === PlatformErrorKind.RateLimited
          ? HTTP_TOO_MANY_REQUESTS
          : HTTP_UNAVAILABLE,
      }),
  );
}
