import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { ResultAsync } from "neverthrow";
import {
  type Claim,
  claimKey,
  ClaimState,
  createClaim,
  DONE_RETENTION_MS,
} from "../ledger/mod.ts";
import type { StageCall } from "../model/mod.ts";
import type { Row, Table, Transaction } from "../store/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { ClaimSweeper } from "./claim_sweeper.ts";

/** In-memory table that returns pages of the requested size. */
class PagedTable implements Table {
  readonly rows = new Map<string, Row>();
  scans = 0;

  read(keys: readonly string[]) {
    return respond(keys.map((key) => this.#row(key)));
  }

  scan(prefix: string, opts: { after?: string; limit?: number } = {}) {
    this.scans += 1;
    const { after = "", limit = 10 } = opts;
    const keys = [...this.rows.keys()].sort()
      .filter((key) => key.startsWith(prefix) && key > after);
    const rows = keys.slice(0, limit).map((key) => this.#row(key));
    return respond({
      rows,
      next: keys.length > limit ? rows.at(-1)?.key : undefined,
    });
  }

  commit({ checks, puts, deletes = [] }: Transaction) {
    const conflicts = checks.map(({ key }) => this.#row(key))
      .filter((row, i) => row.version !== checks[i]?.version);
    if (conflicts.length > 0) return respond({ committed: false, conflicts });
    puts.forEach(({ key, value }) => this.put(key, value));
    deletes.forEach((key) => this.rows.delete(key));
    const rows = puts.map(({ key }) => this.#row(key));
    return respond({ committed: true as const, rows });
  }

  put(key: string, value: unknown): void {
    this.rows.set(key, { key, value, version: this.#row(key).version + 1 });
  }

  claim(key: string, state: ClaimState, claimedAt = Date.now()): void {
    const call = { organisation: "c", idempotencyKey: key, remainingMs: 4_000 };
    const own = createClaim(call as StageCall, { token: key, now: claimedAt });
    this.put(claimKey("c", key), { ...own, state });
  }

  states(): Record<string, string> {
    const claims = [...this.rows.values()].map(({ value }) => value as Claim)
      .filter(({ state }) => state !== undefined);
    return Object.fromEntries(claims.map(({ key, state }) => [key, state]));
  }

  #row(key: string): Row {
    return this.rows.get(key) ?? { key, value: null, version: 0 };
  }
}

// deno-lint-ignore no-explicit-any
function respond<T>(value: T): ResultAsync<any, never> {
  return ResultAsync.fromSafePromise(Promise.resolve(value));
}

const sweeper = (table: Table, holder = "a") =>
  new ClaimSweeper({
    table,
    holder,
    log: SILENT_LOGGER,
    metrics: new Metrics(),
  });
const sweep = async (...sweepers: ClaimSweeper[]) => {
  const clock = install({ toFake: ["setTimeout", "Date"], now: Date.now() });
  const signal = new AbortController().signal;
  const done = Promise.all(sweepers.map((one) => one.sweep(signal)));
  await clock.tickAsync(40_000);
  clock.uninstall();
  await done;
};

test("ClaimSweeper.sweep() marks overdue claims and deletes expired ones", async () => {
  const table = new PagedTable();
  const longAgo = Date.now() - DONE_RETENTION_MS - 1;
  table.claim("running", ClaimState.Claimed);
  table.claim("overdue", ClaimState.Claimed, Date.now() - 120_000);
  table.claim("done", ClaimState.Done);
  table.claim("old", ClaimState.Done, longAgo);
  table.claim("unknown", ClaimState.Unknown, longAgo);
  await sweep(sweeper(table));
  assert.deepEqual(table.states(), {
    running: "claimed",
    overdue: "unknown",
    done: "done",
    unknown: "unknown",
  });
});

test("ClaimSweeper.sweep() lets only the lease holder scan", async () => {
  const table = new PagedTable();
  for (let i = 0; i < 1_200; i += 1) table.claim(`k${i}`, ClaimState.Done);
  await sweep(sweeper(table), sweeper(table, "b"));
  assert.equal(table.scans, 3);
});
