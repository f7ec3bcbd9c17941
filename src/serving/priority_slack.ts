/**
 * Longest queue wait at which requests of each priority are admitted. All
 * priorities share a queue, so less urgent requests must not make it longer
 * than more urgent ones can sustain; otherwise the priority with the tightest
 * latency goal is refused first.
 *
 * @module
 */

import { levelOf, outranks } from "./urgency.ts";

/** Priority of a request and the longest wait that it can sustain. */
export interface RequestSlack {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly slackMs: number;
}

interface AverageSlack {
  readonly slackMs: number;
  readonly at: number;
}

/** Smoothing factor of the moving average of a priority's slack. */
const SLACK_SMOOTHING = 0.2;
/** Time after which a priority without requests limits no other, in ms. */
const EXPIRY_MS = 5_000;
/**
 * Margin that less urgent requests leave below the slack of a more urgent
 * priority, in milliseconds for each level between them: about the mean
 * deviation of actual times from expected ones.
 */
const PRIORITY_RESERVE_MS = 20;

/**
 * Share of the slack of on-time requests up to which an overdue request, which
 * misses its latency goal anyway, is admitted: it uses only spare capacity.
 */
const OVERDUE_SHARE = 0.25;

/** Average slack of the requests of each priority. Immutable. */
export class PrioritySlack {
  readonly #byPriority: ReadonlyMap<number, AverageSlack>;

  constructor(byPriority: ReadonlyMap<number, AverageSlack> = new Map()) {
    this.#byPriority = byPriority;
  }

  /** Returns the state after a request at monotonic time `now`. */
  observe({ priority, slackMs }: RequestSlack, now: number): PrioritySlack {
    // An overdue request is no sample of the slack of its priority.
    if (slackMs <= 0) return this;
    const before = this.#byPriority.get(priority)?.slackMs ?? slackMs;
    const mean = before + SLACK_SMOOTHING * (slackMs - before);
    return new PrioritySlack(
      new Map(this.#byPriority).set(priority, { slackMs: mean, at: now }),
    );
  }

  /**
   * Returns the longest wait, in milliseconds, at which an overdue request is
   * admitted whose result stays useful for `usefulMs` milliseconds.
   */
  overdueLimitMs(priority: number, usefulMs: number, now: number): number {
    const onTime = [...this.#byPriority]
      .filter(([other, { at }]) => other <= priority && now - at < EXPIRY_MS)
      .map(([, { slackMs }]) => slackMs * OVERDUE_SHARE);
    return Math.min(usefulMs, ...onTime);
  }

  /** Returns the average slack of a priority; undefined without requests. */
  usualMs(priority: number): number | undefined {
    return this.#byPriority.get(priority)?.slackMs;
  }

  /** True when no less urgent priority has had requests of late. */
  isLeastUrgent(priority: number, now: number): boolean {
    return ![...this.#byPriority].some(([other, { at }]) =>
      other > priority && now - at < EXPIRY_MS
    );
  }

  /** Returns the longest wait at which a request is admitted, in ms. */
  limitMs({ priority, slackMs }: RequestSlack, now: number): number {
    const higher = [...this.#byPriority]
      .filter(([other, { at }]) =>
        outranks(other, priority) && now - at < EXPIRY_MS
      )
      .map(([other, average]) =>
        average.slackMs -
        PRIORITY_RESERVE_MS * (levelOf(priority) - levelOf(other))
      );
    return Math.min(slackMs, ...higher);
  }
}
