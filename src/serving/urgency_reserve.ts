/**
 * Share of the usual wait up to which less urgent chains are admitted.
 *
 * A chain that has begun keeps its place, so less urgent chains have to leave
 * capacity unused that more urgent ones are about to need. The share falls with
 * each refusal of a more urgent chain and rises with each admission, so that
 * about `UP / (UP + DOWN)` of the more urgent ones are refused while any less
 * urgent chain is admitted.
 *
 * @module
 */

import { outranks } from "./urgency.ts";

/** Rise for each admission of a more urgent chain. */
const UP = 0.002;
/** Fall for each refusal of a more urgent chain. */
const DOWN = 0.02;

/**
 * Time without a refusal from which the share also rises with time, in
 * milliseconds.
 */
const QUIET_MS = 1_000;
/** Time in which it then rises from 0 to 1, in milliseconds. */
const RECOVERY_MS = 3_000;

interface ReservedShare {
  readonly share: number;
  /** Time of the last refusal or recovery. */
  readonly at: number;
}

/** Shares by priority. Immutable. */
export class UrgencyReserve {
  readonly #shares: ReadonlyMap<number, ReservedShare>;

  constructor(shares: ReadonlyMap<number, ReservedShare> = new Map()) {
    this.#shares = shares;
  }

  /** Returns the share of a priority: 1 without refusals of more urgent ones. */
  shareOf(priority: number, now: number): number {
    const known = this.#shares.get(priority);
    if (!known) return 1;
    const recovered = Math.max(0, now - known.at - QUIET_MS) / RECOVERY_MS;
    return Math.min(1, known.share + recovered);
  }

  /** Returns the state after the decision on a chain. */
  observe(
    priority: number,
    isRefused: boolean,
    now: number,
  ): UrgencyReserve {
    const next = new Map(this.#shares);
    if (!next.has(priority)) next.set(priority, { share: 1, at: now });
    next.forEach((known, other) => {
      if (!outranks(priority, other)) return;
      const share = isRefused
        ? Math.max(0, this.shareOf(other, now) - DOWN)
        : Math.min(1, known.share + UP);
      next.set(other, { share, at: isRefused ? now : known.at });
    });
    return new UrgencyReserve(next);
  }
}
