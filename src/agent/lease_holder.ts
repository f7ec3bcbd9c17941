/**
 * Holder of a lease that is stored in a row of the table service.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  applyLease,
  createLease,
  fenceOf,
  type LeaseConfig,
  type LeaseRow,
  type LeaseState,
  type LeaseStep,
  mayOrder,
  nextLeaseStep,
  releaseStep,
} from "../lease/mod.ts";
import type { Row, Table } from "../store/mod.ts";

/** Longest wait before the row is read again, in milliseconds. */
const MAX_POLL_MS = 2_000;
/** Pause after a failed call to the table service, in milliseconds. */
const RETRY_MS = 1_000;

/** Acquires, renews and releases a lease for one process. */
export class LeaseHolder {
  readonly #table: Table;
  readonly #key: string;
  #state: LeaseState;

  constructor(opts: { table: Table; key: string; cfg: LeaseConfig }) {
    this.#table = opts.table;
    this.#key = opts.key;
    this.#state = createLease(opts.cfg);
  }

  /** True while an order may be sent; check it right before sending. */
  get mayOrder(): boolean {
    return mayOrder(this.#state, monotonicMs());
  }

  /** Fencing number for the orders under the lease. */
  get fence(): number {
    return fenceOf(this.#state);
  }

  /** Acquires or renews the lease; false when `signal` aborts first. */
  async acquire(signal: AbortSignal): Promise<boolean> {
    await this.#refresh(signal);
    while (!signal.aborted) {
      const step = nextLeaseStep(this.#state, monotonicMs());
      if (step.kind === "hold") return true;
      if (step.kind === "wait") {
        await sleep(Math.min(step.ms, MAX_POLL_MS), signal);
        await this.#refresh(signal);
      } else await this.#write(step, signal);
    }
    return false;
  }

  /** Releases the lease, so that others need not wait for it to lapse. */
  async release(): Promise<void> {
    const step = releaseStep(this.#state);
    if (step?.kind === "write") await this.#write(step);
  }

  async #refresh(signal: AbortSignal): Promise<void> {
    const read = await this.#table.read([this.#key], signal);
    if (read.isOk()) return this.#apply(read.value[0]);
    await sleep(RETRY_MS, signal);
  }

  async #write(
    step: LeaseStep & { kind: "write" },
    signal?: AbortSignal,
  ): Promise<void> {
    const requestedAt = monotonicMs();
    const result = await this.#table.commit({
      checks: [{ key: this.#key, version: step.version }],
      puts: [{ key: this.#key, value: step.row }],
    }, signal);
    if (result.isErr()) {
      await sleep(RETRY_MS, signal);
      if (signal) await this.#refresh(signal);
      return;
    }
    if (!result.value.committed) return this.#apply(result.value.conflicts[0]);
    const version = result.value.rows[0]?.version ?? 0;
    const event = {
      kind: "written",
      version,
      row: step.row,
      requestedAt,
    } as const;
    this.#state = applyLease(this.#state, event, monotonicMs());
  }

  #apply(row: Row | undefined): void {
    if (!row) return;
    const event = {
      kind: "read",
      version: row.version,
      row: row.value as LeaseRow | null,
    } as const;
    this.#state = applyLease(this.#state, event, monotonicMs());
  }
}
