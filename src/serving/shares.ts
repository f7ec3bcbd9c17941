/**
 * Shares of fleet-wide limits: each process uses only its own share, so the sum
 * stays within the limit without messages between processes.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";

/** Times of uses, newest last; those older than the window are discarded. */
interface UseTimes {
  readonly at: readonly number[];
}

const NONE: UseTimes = { at: [] };
const MS_PER_S = 1_000;
/** Connection shares that are kept, which bounds the memory. */
const MAX_KEPT_SHARES = 4_096;

/** Bounds of the retries of one process. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Retries for each request. */
  readonly ratio: number;
  /** Additional retries in a window. */
  readonly allowance: number;
}

/**
 * Retries that one process may send to the targets of a pool in a sliding
 * window. Immutable.
 */
export class RetryShare {
  readonly #requests: UseTimes;
  readonly #retries: UseTimes;

  constructor(requests: UseTimes = NONE, retries: UseTimes = NONE) {
    this.#requests = requests;
    this.#retries = retries;
  }

  /** Returns the share after a request for the pool. */
  request(now: number, windowMs: number): RetryShare {
    return new RetryShare(
      withUse(this.#requests, now, windowMs),
      this.#retries,
    );
  }

  /** Returns the share after a retry, or undefined when none is left. */
  retry(now: number, bounds: RetryBounds): RetryShare | undefined {
    if (this.left(now, bounds) < 1) return undefined;
    return new RetryShare(
      this.#requests,
      withUse(this.#retries, now, bounds.windowMs),
    );
  }

  /** Number of retries that may be sent now; not always a whole number. */
  left(now: number, { windowMs, ratio, allowance }: RetryBounds): number {
    const requests = pruned(this.#requests, now, windowMs).at.length;
    const retries = pruned(this.#retries, now, windowMs).at.length;
    return ratio * requests + allowance - retries;
  }
}

/** Requests that one process may send to a cold target. Immutable. */
export class ColdShare {
  readonly #sent: UseTimes;

  constructor(sent: UseTimes = NONE) {
    this.#sent = sent;
  }

  /** Returns the share after one request, or undefined when `perS` are used. */
  spend(now: number, perS: number): ColdShare | undefined {
    const sent = pruned(this.#sent, now, MS_PER_S);
    if (sent.at.length + 1 > perS) return undefined;
    return new ColdShare(withUse(sent, now, MS_PER_S));
  }
}

/**
 * Returns the requests a second that process `self` may send to a cold target
 * that can handle `perS`. When the limit is smaller than the number of
 * processes, the first ones in rendezvous order may send one each.
 */
export function coldRate(
  opts: {
    self: string;
    processes: readonly string[];
    target: string;
    perS: number;
  },
): number {
  const { self, processes, target, perS } = opts;
  const all = processes.includes(self) ? processes : [...processes, self];
  const perProcess = Math.floor(perS / all.length);
  if (perProcess >= 1) return perProcess;
  const holders = rendezvousOrder(all, { key: target, idOf: (name) => name })
    .slice(0, Math.floor(perS));
  return holders.includes(self) ? 1 : 0;
}

/**
 * Returns the connections that process `self` may open to a target that accepts
 * `total` from all processes. The shares add up to the total: what equal shares
 * leave over goes to the first processes in rendezvous order, which are others
 * for each target.
 */
export function connectionShare(
  opts: {
    self: string;
    processes: readonly string[];
    target: string;
    total: number;
  },
): number {
  const { self, processes, target, total } = opts;
  const all = processes.includes(self) ? processes : [...processes, self];
  const each = Math.floor(total / all.length);
  const left = Math.floor(total) - each * all.length;
  const holders = rendezvousOrder(all, { key: target, idOf: (name) => name })
    .slice(0, left);
  return each + (holders.includes(self) ? 1 : 0);
}

/**
 * Connection shares of one process, computed anew only when the processes
 * change: the order of hundreds of processes takes long for each target.
 */
export class ConnectionShares {
  readonly #self: string;
  #processes: readonly string[] = [];
  /** Shares by target and total. */
  readonly #shares = new Map<string, number>();

  constructor(self: string) {
    this.#self = self;
  }

  /** Returns the share of a target; see `connectionShare`. */
  of(
    opts: { processes: readonly string[]; target: string; total: number },
  ): number {
    const { processes, target, total } = opts;
    const isSame = processes === this.#processes ||
      (processes.length === this.#processes.length &&
        processes.every((name, i) => name === this.#processes[i]));
    if (!isSame || this.#shares.size >= MAX_KEPT_SHARES) this.#shares.clear();
    this.#processes = processes;
    const key = `${target} ${total}`;
    const share = this.#shares.get(key) ??
      connectionShare({ self: this.#self, ...opts });
    this.#shares.set(key, share);
    return share;
  }
}

function pruned({ at }: UseTimes, now: number, windowMs: number): UseTimes {
  return { at: at.filter((time) => time > now - windowMs) };
}

function withUse(times: UseTimes, now: number, windowMs: number): UseTimes {
  return { at: [...pruned(times, now, windowMs).at, now] };
}
