/**
 * Lease with a fencing number, stored in one row of a table.
 *
 * Clocks of different processes are never compared. The holder counts the
 * duration from before it sent the write; every other process counts it from
 * when it first saw the row, which is later. A lease has therefore lapsed for
 * its holder before another process takes it over.
 *
 * A receiver that ignores fencing numbers would still accept an order that was
 * sent under the previous lease. With such a receiver, a process also waits for
 * the longest time that an order can be in flight before it takes over a lease.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Row of a lease as it is stored. */
export interface LeaseRow {
  /** Identifier of the process that holds the lease. */
  readonly holder: string;
  /** Fencing number; grows with each acquisition, but not with a renewal. */
  readonly fence: number;
  readonly durationMs: number;
  /** True when the holder released it after the response to its last order. */
  readonly released: boolean;
}

/** Configuration of a lease in one process. */
export interface LeaseConfig {
  /** Identifier of this process. */
  readonly holder: string;
  readonly durationMs: number;
  /** Largest relative difference between the rates of two clocks. */
  readonly maxDrift: number;
  /** Longest time that an order is in flight, in milliseconds. */
  readonly maxOrderMs: number;
  /** True when the receiver refuses orders with outdated fencing numbers. */
  readonly checksFencing: boolean;
}

/** A lease as known to one process. Times are monotonic, in milliseconds. */
export interface LeaseState {
  readonly cfg: LeaseConfig;
  readonly version: number;
  readonly row: LeaseRow | null;
  /** Time at which this version was first seen. */
  readonly seenAt: number;
  /** Time until which this process may send orders. */
  readonly validUntil: number;
}

/** Event that updates the known state of a lease. */
export type LeaseEvent =
  /** The row was read, or a write failed since another one came first. */
  | {
    readonly kind: "read";
    readonly version: number;
    readonly row: LeaseRow | null;
  }
  /** This process's write took effect. */
  | {
    readonly kind: "written";
    readonly version: number;
    readonly row: LeaseRow;
    /** Time just before the write was sent. */
    readonly requestedAt: number;
  };

/** Next step to acquire or keep the lease. */
export type LeaseStep =
  | { readonly kind: "hold" }
  | { readonly kind: "wait"; readonly ms: number }
  /** Write `row` if the stored row still has `version`. */
  | {
    readonly kind: "write";
    readonly version: number;
    readonly row: LeaseRow;
  };

/** Share of the duration that is left when a held lease is renewed. */
const RENEWAL_SHARE = 0.5;

/** Creates the state before the row has been read. */
export function createLease(cfg: LeaseConfig): LeaseState {
  return { cfg, version: -1, row: null, seenAt: 0, validUntil: 0 };
}

/** Applies an event at time `now`. */
export function applyLease(
  state: LeaseState,
  event: LeaseEvent,
  now: number,
): LeaseState {
  const { version, row } = event;
  invariant(
    (row?.fence ?? 0) >= (state.row?.fence ?? 0) || row === null,
    "lease-fence-grows",
    () => `from=${state.row?.fence} to=${row?.fence}`,
  );
  if (event.kind === "written") {
    const validUntil = event.row.released
      ? 0
      : validUntilOf(state, event.requestedAt);
    return { ...state, version, row, seenAt: now, validUntil };
  }
  if (version === state.version) return state;
  return { ...state, version, row, seenAt: now, validUntil: 0 };
}

/** True while an order may be sent; to be checked right before sending it. */
export function mayOrder(state: LeaseState, now: number): boolean {
  return state.row?.holder === state.cfg.holder && !state.row.released &&
    now < state.validUntil;
}

/** Returns the fencing number for orders under the lease. */
export function fenceOf(state: LeaseState): number {
  return state.row?.fence ?? 0;
}

/** Returns the next step at time `now` to acquire or keep the lease. */
export function nextLeaseStep(state: LeaseState, now: number): LeaseStep {
  const { cfg, row, version } = state;
  if (row === null || row.released) return writeStep(state, version);
  if (row.holder === cfg.holder) {
    const renewAt = state.validUntil - cfg.durationMs * RENEWAL_SHARE;
    if (now < renewAt) return { kind: "hold" };
    return { kind: "write", version, row: { ...row, released: false } };
  }
  const waitMs = state.seenAt + lapseMs(state, row) - now;
  return waitMs > 0 ? { kind: "wait", ms: waitMs } : writeStep(state, version);
}

/** Returns the write that releases a held lease; undefined if not held. */
export function releaseStep(state: LeaseState): LeaseStep | undefined {
  const { row, version, cfg } = state;
  if (row?.holder !== cfg.holder || row.released) return undefined;
  return { kind: "write", version, row: { ...row, released: true } };
}

function writeStep(state: LeaseState, version: number): LeaseStep {
  const { holder, durationMs } = state.cfg;
  const fence = fenceOf(state) + 1;
  return {
    kind: "write",
    version: Math.max(0, version),
    row: { holder, fence, durationMs, released: false },
  };
}

/** Time from first sight until another process's lease has surely lapsed. */
function lapseMs({ cfg }: LeaseState, row: LeaseRow): number {
  const inFlightMs = cfg.checksFencing ? 0 : cfg.maxOrderMs;
  return (row.durationMs + inFlightMs) * (1 + cfg.maxDrift);
}

function validUntilOf({ cfg }: LeaseState, requestedAt: number): number {
  return requestedAt + cfg.durationMs * (1 - cfg.maxDrift);
}
