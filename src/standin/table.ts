/**
 * Stand-in for the platform's transactional table service.
 *
 * @module
 */

import { Hono } from "hono";
import { okAsync, type ResultAsync } from "neverthrow";
import type {
  CommitResult,
  PlatformError,
  Row,
  ScanPage,
  Table,
  Transaction,
} from "../platform/mod.ts";
import { type Faults, withFaults } from "./faults.ts";

const DEFAULT_PAGE = 1_000;

/** Table service in memory. */
export class MemoryTable implements Table {
  readonly #rows = new Map<string, Row>();
  /** Calls that read and that write, for budgets. */
  readonly calls = { reads: 0, writes: 0 };

  read(keys: readonly string[]): ResultAsync<readonly Row[], PlatformError> {
    this.calls.reads += 1;
    return okAsync(keys.map((key) => this.#row(key)));
  }

  scan(
    prefix: string,
    opts: { after?: string; limit?: number } = {},
  ): ResultAsync<ScanPage, PlatformError> {
    this.calls.reads += 1;
    const limit = opts.limit ?? DEFAULT_PAGE;
    const keys = [...this.#rows.keys()]
      .filter((key) => key.startsWith(prefix) && key > (opts.after ?? ""))
      .sort();
    const rows = keys.slice(0, limit).map((key) => this.#row(key));
    const next = keys.length > limit ? rows.at(-1)?.key : undefined;
    return okAsync({ rows, next });
  }

  commit(tx: Transaction): ResultAsync<CommitResult, PlatformError> {
    this.calls.writes += 1;
    const conflicts = tx.checks
      .filter(({ key, version }) => this.#row(key).version !== version)
      .map(({ key }) => this.#row(key));
    if (conflicts.length > 0) return okAsync({ committed: false, conflicts });
    const rows = tx.puts.map(({ key, value }) => this.#put(key, value));
    tx.deletes?.forEach((key) => this.#rows.delete(key));
    return okAsync({ committed: true, rows });
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
    (err) => Response.json({ kind: err.kind }, { status: 503 }),
  );
}
