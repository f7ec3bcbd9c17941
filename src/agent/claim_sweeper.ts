/**
 * Clean-up of old claims: marks overdue ones as unknown and deletes those past
 * their retention time.
 *
 * One agent of the fleet sweeps at a time, under a lease in the table service.
 * The row of the lease also stores the position of the sweep.
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
/** Time between two attempts to acquire the lease, in milliseconds. */
const ACQUIRE_INTERVAL_MS = 60_000;
/** Duration of the lease, in milliseconds. */
const LEASE_MS = 30_000;
const PAGE_PAUSE_MS = 1_000;
/** Rows per page; each page costs one read and at most one write. */
const PAGE_ROWS = 500;

/** Value of the lease row. */
interface SweepLease {
  readonly holder: string;
  /** Wall-clock expiry, in milliseconds since the epoch. */
  readonly until: number;
  /** Key after which the next page starts. */
  readonly after: string;
}

/** Result of sweeping one page. */
export interface SweepPage {
  readonly rows: number;
  readonly deleted: number;
  readonly markedUnknown: number;
  /** Key after which the next page starts; empty after the last page. */
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

  /** Tries for the lease periodically, and sweeps, until `signal` aborts. */
  run(signal: AbortSignal): void {
    void this.#runPeriodically(signal);
  }

  /** Tries once to acquire the lease; starts no page after it has expired. */
  async sweep(signal: AbortSignal): Promise<void> {
    const lease = await this.#acquire();
    if (!lease) return;
    let { after } = lease;
    while (!signal.aborted && Date.now() < lease.until) {
      const page = await this.sweepPage(after);
      if (page.isErr()) return;
      after = page.value.next;
      if (after === "") break;
      await sleep(PAGE_PAUSE_MS, signal);
    }
    await this.#release(lease, after);
  }

  /** Sweeps the page that starts after a key. */
  async sweepPage(after: string): Promise<Result<SweepPage, PlatformError>> {
    const page = await this.#table.scan(CLAIM_PREFIX, {
      after,
      limit: PAGE_ROWS,
    });
    if (page.isErr()) return err(page.error);
    const { rows, next } = page.value;
    const now = Date.now();
    const rowsFor = (action: SweepAction) =>
      rows.filter(({ value }) => sweepAction(value as Claim, now) === action);
    const overdue = rowsFor(SweepAction.MarkUnknown);
    const expired = rowsFor(SweepAction.Delete);
    const written = await this.#write(overdue, expired);
    if (written.isErr()) return err(written.error);
    return ok({
      rows: rows.length,
      deleted: written.value ? expired.length : 0,
      markedUnknown: written.value ? overdue.length : 0,
      next: next ?? "",
    });
  }

  async #runPeriodically(signal: AbortSignal): Promise<void> {
    await sleep(Math.random() * ACQUIRE_INTERVAL_MS, signal);
    await every(ACQUIRE_INTERVAL_MS, () => this.sweep(signal), signal);
  }

  /**
   * Writes the changes of a page in one transaction. Returns false when a row
   * changed after it was read; a later sweep finds the rows again.
   */
  async #write(
    overdue: readonly Row[],
    expired: readonly Row[],
  ): Promise<Result<boolean, PlatformError>> {
    if (overdue.length + expired.length === 0) return ok(true);
    const result = await this.#table.commit({
      checks: [...overdue, ...expired].map(({ key, version }) => ({
        key,
        version,
      })),
      puts: overdue.map(({ key, value }) => ({
        key,
        value: unknownClaim(value as Claim),
      })),
      deletes: expired.map(({ key }) => key),
    });
    if (result.isErr()) return err(result.error);
    if (result.value.committed) {
      overdue.forEach(({ value }) => this.#reportUnknown(value as Claim));
      this.#metrics.count("claims_deleted_total", {}, expired.length);
    }
    return ok(result.value.committed);
  }

  #reportUnknown(claim: Claim): void {
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
    const current = row.value as SweepLease | null;
    const now = Date.now();
    if (current && current.until > now) return undefined;
    const lease: SweepLease = {
      holder: this.#holder,
      until: now + LEASE_MS,
      after: current?.after ?? "",
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
