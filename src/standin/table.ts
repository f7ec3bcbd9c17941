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
/** Time over which a limit allows writes to bunch, in milliseconds. */
const BURST_MS = 100;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

/** Speed and limits of the table. */
export interface TableConfig {
  /** Time of each call, in milliseconds. */
  readonly latencyMs: number;
  /** Most writes in a second; 0 for no limit. */
  readonly writesPerS: number;
  /** Rows of a transaction that count as one write; 0 for all of them. */
  readonly rowsPerWrite: number;
}

/** Table without limits. */
export const DEFAULT_TABLE: TableConfig = {
  latencyMs: 0,
  writesPerS: 0,
  rowsPerWrite: 0,
};

/** Table service in memory. */
export class MemoryTable implements Table {
  readonly #cfg: TableConfig;
  readonly #rows = new Map<string, Row>();
  #writesFreeAt = 0;
  /** Calls that read and that write, for budgets. */
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
    if (!this.#takeWrite(tx.puts.length + (tx.deletes?.length ?? 0))) {
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

  /** Takes a transaction's share of the limit; false when none is left. */
  #takeWrite(rows: number): boolean {
    const { writesPerS, rowsPerWrite } = this.#cfg;
    if (writesPerS === 0) return true;
    const now = Date.now();
    const freeAt = Math.max(now, this.#writesFreeAt);
    if (freeAt - now > BURST_MS) return false;
    const writes = rowsPerWrite === 0 ? 1 : Math.ceil(rows / rowsPerWrite);
    this.#writesFreeAt = freeAt + writes * MS_PER_S / writesPerS;
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

/** HTTP form of a table. */
export function createTableApp(
  table: Table,
  opts: { faults: Faults; seed: number },
): Hono {
  const app = new Hono();
  app.post("/table/read", async (c) => {
    const { keys } = await c.req.json<{ keys: string[] }>();
    return answer(await table.read(keys));
  });
  app.post("/table/scan", async (c) => {
    const { prefix, ...page } = await c.req.json<
      { prefix: string; after?: string; limit?: number }
    >();
    return answer(await table.scan(prefix, page));
  });
  app.post("/table/commit", async (c) => {
    const tx = await c.req.json<Transaction>();
    return answer(await table.commit(tx));
  });
  return withFaults(app, opts);
}

function answer(
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
