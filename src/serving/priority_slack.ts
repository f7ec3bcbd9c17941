/**
 * Longest wait that each rank of requests may meet. A queue serves all ranks,
 * so requests of a lower rank may not make it longer than those of a higher
 * one can bear; without this the rank with the tightest goal is refused first.
 *
 * @module
 */

/** Rank of a request with the wait that it can bear, in milliseconds. */
export interface Rank {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly slackMs: number;
}

interface Noted {
  readonly slackMs: number;
  readonly at: number;
}

/** Gain of the moving mean of a rank's slack. */
const SLACK_GAIN = 0.2;
/** Time after which a rank that has no requests limits no other, in ms. */
const FORGET_MS = 5_000;
/**
 * Time by which lower ranks stay below what a higher one bears, in
 * milliseconds: about the time by which expectations differ.
 */
const RANK_RESERVE_MS = 20;

/**
 * Share of the wait that requests in time may meet up to which one is taken
 * that is late anyway: it gets what others leave over.
 */
const LATE_SHARE = 0.25;

/** Slack of the requests of each rank. Immutable. */
export class RankSlack {
  readonly #ranks: ReadonlyMap<number, Noted>;

  constructor(ranks: ReadonlyMap<number, Noted> = new Map()) {
    this.#ranks = ranks;
  }

  /** Slack after a request at monotonic time `now`. */
  note({ priority, slackMs }: Rank, now: number): RankSlack {
    // A request that is late by itself says nothing of its rank.
    if (slackMs <= 0) return this;
    const before = this.#ranks.get(priority)?.slackMs ?? slackMs;
    const mean = before + SLACK_GAIN * (slackMs - before);
    return new RankSlack(
      new Map(this.#ranks).set(priority, { slackMs: mean, at: now }),
    );
  }

  /**
   * Longest wait with which a request is taken that cannot be in time any
   * more but is useful for `usefulMs` milliseconds.
   */
  lateLimitMs(priority: number, usefulMs: number, now: number): number {
    const inTime = [...this.#ranks]
      .filter(([rank, { at }]) => rank <= priority && now - at < FORGET_MS)
      .map(([, { slackMs }]) => slackMs * LATE_SHARE);
    return Math.min(usefulMs, ...inTime);
  }

  /** Longest wait with which a request is taken, in milliseconds. */
  limitMs({ priority, slackMs }: Rank, now: number): number {
    const higher = [...this.#ranks]
      .filter(([rank, { at }]) => rank < priority && now - at < FORGET_MS)
      .map(([rank, one]) => one.slackMs - RANK_RESERVE_MS * (priority - rank));
    return Math.min(slackMs, ...higher);
  }
}
