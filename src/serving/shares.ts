/**
 * Shares of limits that hold for the whole fleet: each process spends only its
 * own share, so the sum holds without a message between them.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";

/** Times of what was spent, newest last; older than the window is dropped. */
interface Spent {
  readonly at: readonly number[];
}

const NONE: Spent = { at: [] };
const MS_PER_S = 1_000;

/** Share of the repeats that a pool may get in a sliding window. Immutable. */
export class RepeatShare {
  readonly #requests: Spent;
  readonly #repeats: Spent;

  constructor(requests: Spent = NONE, repeats: Spent = NONE) {
    this.#requests = requests;
    this.#repeats = repeats;
  }

  /** Share after a request for the pool. */
  request(now: number, windowMs: number): RepeatShare {
    return new RepeatShare(push(this.#requests, now, windowMs), this.#repeats);
  }

  /** Share after a repeat, or undefined when none is left. */
  repeat(
    now: number,
    opts: { windowMs: number; ratio: number; allowance: number },
  ): RepeatShare | undefined {
    const { windowMs, ratio, allowance } = opts;
    const requests = within(this.#requests, now, windowMs).at.length;
    const repeats = within(this.#repeats, now, windowMs).at.length;
    if (repeats + 1 > ratio * requests + allowance) return undefined;
    return new RepeatShare(this.#requests, push(this.#repeats, now, windowMs));
  }
}

/** Requests that one process may send to a cold target. Immutable. */
export class ColdShare {
  readonly #sent: Spent;

  constructor(sent: Spent = NONE) {
    this.#sent = sent;
  }

  /** Share after one request, or undefined when `perS` are spent. */
  spend(now: number, perS: number): ColdShare | undefined {
    const sent = within(this.#sent, now, MS_PER_S);
    if (sent.at.length + 1 > perS) return undefined;
    return new ColdShare(push(sent, now, MS_PER_S));
  }
}

/**
 * Requests a second that process `self` may send to a cold target that bears
 * `perS`. A limit that is smaller than the number of processes goes to the
 * first ones in the order of rendezvous hashing.
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
  const each = Math.floor(perS / all.length);
  if (each >= 1) return each;
  const spenders = rendezvousOrder(all, { key: target, idOf: (name) => name })
    .slice(0, Math.floor(perS));
  return spenders.includes(self) ? 1 : 0;
}

function within({ at }: Spent, now: number, windowMs: number): Spent {
  return { at: at.filter((time) => time > now - windowMs) };
}

function push(spent: Spent, now: number, windowMs: number): Spent {
  return { at: [...within(spent, now, windowMs).at, now] };
}
