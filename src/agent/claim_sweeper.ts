/**
 * Clean-up of old claims: marks overdue ones unknown and deletes those past
 * their retention.
 *
 * One agent of the fleet sweeps at a time. It holds a lease in the table
 * service, which also keeps where the sweep has got to.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { every, sleep } from "../kernel/mod.ts";
import {
  type Claim,
  CLAIM_PREFIX,
  SweepAction,
  sweepAction,
  unknownClaim,
} from "../ledger/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";

/** Key of the row that holds the lease. */
export const SWEEP_KEY = "sweep/claims";
/** Time between two tries to become the sweeper, in milliseconds. */
const TRY_MS = 60_000;
/** Length of the lease, in milliseconds. */
const LEASE_MS = 30_000;
const PAUSE_MS = 1_000;
/** Rows read at once; each page costs one read and at most one write. */
const PAGE_ROWS = 500;

/** Value of the lease row. */
interface SweepLease {
  readonly holder: string;
  /** Wall-clock end, in milliseconds since the epoch. */
  readonly until: number;
  /** Key after which the next page starts. */
  readonly after: string;
}

/** What one page of a sweep did. */
export interface SweepPage {
  readonly rows: number;
  readonly deleted: number;
  readonly markedUnknown: number;
  /** Key to go on after; empty at the end. */
  readonly next: string;
}

/** Sweeps the claims while this agent holds the lease. */
export class ClaimSweeper {
  readonly #table: Table;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #holder: string;

  constructor(
    opts: { table: Table; log: Logger; metrics: Metrics; holder: string },
  ) {
    this.#table = opts.table;
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    this.#holder = opts.holder;
  }

  /** Takes part until `signal` aborts. */
  run(signal: AbortSignal): void {
    void this.#start(signal);
  }

  /** Tries for the lease once, and sweeps while it lasts. */
  async sweep(signal: AbortSignal): Promise<void> {
    const lease = await this.#acquire();
    if (!lease) return;
    let { after } = lease;
    while (!signal.aborted && Date.now() < lease.until) {
      const page = await this.sweepPage(after);
      if (page.isErr()) return;
      after = page.value.next;
      if (after === "") break;
      await sleep(PAUSE_MS, signal);
    }
    await this.#release(lease, after);
  }

  /** Sweeps the page after a key. */
  async sweepPage(after: string): Promise<Result<SweepPage, PlatformError>> {
    const page = await this.#table.scan(CLAIM_PREFIX, {
      after,
      limit: PAGE_ROWS,
    });
    if (page.isErr()) return err(page.error);
    const { rows, next } = page.value;
    const now = Date.now();
    const having = (action: SweepAction) =>
      rows.filter(({ value }) => sweepAction(value as Claim, now) === action);
    const overdue = having(SweepAction.MarkUnknown);
    const old = having(SweepAction.Delete);
    const done = await this.#write(overdue, old);
    if (done.isErr()) return err(done.error);
    return ok({
      rows: rows.length,
      deleted: done.value ? old.length : 0,
      markedUnknown: done.value ? overdue.length : 0,
      next: next ?? "",
    });
  }

  async #start(signal: AbortSignal): Promise<void> {
    await sleep(Math.random() * TRY_MS, signal);
    await every(TRY_MS, () => this.sweep(signal), signal);
  }

  /** False when a row changed meanwhile; the next sweep finds it again. */
  async #write(
    overdue: readonly Row[],
    old: readonly Row[],
  ): Promise<Result<boolean, PlatformError>> {
    if (overdue.length + old.length === 0) return ok(true);
    const result = await this.#table.commit({
      checks: [...overdue, ...old].map(({ key, version }) => ({
        key,
        version,
      })),
      puts: overdue.map(({ key, value }) => ({
        key,
        value: unknownClaim(value as Claim),
      })),
      deletes: old.map(({ key }) => key),
    });
    if (result.isErr()) return err(result.error);
    if (result.value.committed) {
      overdue.forEach(({ value }) => this.#report(value as Claim));
      this.#metrics.count("claims_deleted_total", {}, old.length);
    }
    return ok(result.value.committed);
  }

  #report(claim: Claim): void {
    this.#metrics.count("outcomes_unknown_total", {
      organisation: claim.organisation,
    });
    this.#log.error("outcome_unknown", {
      call: claim.callId,
      organisation: claim.organisation,
      idempotency_key: claim.key,
      detail: "The agent that held the claim recorded no outcome in time",
    });
  }

  async #acquire(): Promise<SweepLease & { version: number } | undefined> {
    const read = await this.#table.read([SWEEP_KEY]);
    const row = read.isOk() ? read.value[0] : undefined;
    if (!row) return undefined;
    const standing = row.value as SweepLease | null;
    const now = Date.now();
    if (standing && standing.until > now) return undefined;
    const lease: SweepLease = {
      holder: this.#holder,
      until: now + LEASE_MS,
      after: standing?.after ?? "",
    };
    const version = await this.#put(lease, row.version);
    return version === undefined ? undefined : { ...lease, version };
  }

  async #release(
    { version, holder }: SweepLease & { version: number },
    after: string,
  ): Promise<void> {
    await this.#put({ holder, until: 0, after }, version);
  }

  async #put(lease: SweepLease, version: number): Promise<number | undefined> {
    const result = await this.#table.commit({
      checks: [{ key: SWEEP_KEY, version }],
      puts: [{ key: SWEEP_KEY, value: lease }],
    });
    return result.isOk() && result.value.committed
      ? result.value.rows[0]?.version
      : undefined;
  }
}
