/**
 * Lease with a fencing number, kept in one row of a table.
 *
 * Clocks of different processes are never compared. A holder counts the
 * lease's duration from before it asked for it; everybody else counts it from
 * when they first saw the row, which is later. So a lease has lapsed for its
 * holder before anybody else takes it.
 *
 * A receiver that ignores fencing numbers may still get an order that was sent
 * under the old lease. A taker therefore waits for the longest time that an
 * order may be under way as well, before it takes such a lease.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Row of a lease as it is stored. */
export interface LeaseRow {
  /** Identifier of the process that holds it. */
  readonly holder: string;
  /** Grows with each change of the holder. */
  readonly fence: number;
  readonly durationMs: number;
  /** True when the holder gave it up after its last order was answered. */
  readonly released: boolean;
}

/** How a process deals with a lease. */
export interface LeaseConfig {
  /** Identifier of this process. */
  readonly holder: string;
  readonly durationMs: number;
  /** Largest difference of the rates of two clocks, as a share. */
  readonly maxDrift: number;
  /** Longest time an order is under way, in milliseconds. */
  readonly orderMs: number;
  /** True when the receiver refuses orders with old fencing numbers. */
  readonly checksFencing: boolean;
}

/** What a process knows about a lease. Times are monotonic, in ms. */
export interface LeaseState {
  readonly cfg: LeaseConfig;
  readonly version: number;
  readonly row: LeaseRow | null;
  /** Time at which this version was first seen. */
  readonly seenAt: number;
  /** Time until which this process may give orders. */
  readonly validUntil: number;
}

/** Something learnt about a lease. */
export type LeaseEvent =
  /** The row was read, or another writer was found to have come first. */
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
    /** Time before the write was asked for. */
    readonly askedAt: number;
  };

/** What to do to hold the lease. */
export type LeaseStep =
  | { readonly kind: "hold" }
  | { readonly kind: "wait"; readonly ms: number }
  /** Write `row` if the stored one still has `version`. */
  | {
    readonly kind: "write";
    readonly version: number;
    readonly row: LeaseRow;
  };

/** Share of the duration after which a held lease is renewed. */
const RENEW_AFTER = 0.5;

/** State before the row was read. */
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
    const validUntil = event.row.released ? 0 : validFrom(state, event.askedAt);
    return { ...state, version, row, seenAt: now, validUntil };
  }
  if (version === state.version) return state;
  return { ...state, version, row, seenAt: now, validUntil: 0 };
}

/** True while an order may be sent; ask right before sending it. */
export function mayOrder(state: LeaseState, now: number): boolean {
  return state.row?.holder === state.cfg.holder && !state.row.released &&
    now < state.validUntil;
}

/** Fencing number of the orders under a held lease. */
export function fenceOf(state: LeaseState): number {
  return state.row?.fence ?? 0;
}

/** What to do at time `now` to get or keep the lease. */
export function nextLeaseStep(state: LeaseState, now: number): LeaseStep {
  const { cfg, row, version } = state;
  if (row === null || row.released) return writeStep(state, version);
  if (row.holder === cfg.holder) {
    const renewAt = state.validUntil - cfg.durationMs * RENEW_AFTER;
    if (now < renewAt) return { kind: "hold" };
    return { kind: "write", version, row: { ...row, released: false } };
  }
  const left = state.seenAt + lapseMs(state, row) - now;
  return left > 0 ? { kind: "wait", ms: left } : writeStep(state, version);
}

/** Row that gives up a held lease; undefined when it is not held. */
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

/** Time after which another process's lease has lapsed for sure. */
function lapseMs({ cfg }: LeaseState, row: LeaseRow): number {
  const underWayMs = cfg.checksFencing ? 0 : cfg.orderMs;
  return (row.durationMs + underWayMs) * (1 + cfg.maxDrift);
}

function validFrom({ cfg }: LeaseState, askedAt: number): number {
  return askedAt + cfg.durationMs * (1 - cfg.maxDrift);
}
