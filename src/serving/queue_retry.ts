/**
 * Time after which a caller that met a long queue of stages may retry.
 *
 * @module
 */

import type { Random } from "../kernel/mod.ts";

/** Largest share of their remaining time that callers wait before a retry. */
const MAX_RETRY_SHARE = 1 / 3;
/** Longest time after which callers that met a long queue may retry, in ms. */
const MAX_RETRY_AFTER_MS = 6_000;
/**
 * Share of refused requests from which the overload is likely to last beyond
 * the time in which a retry is of use.
 */
const LASTING_SHARE = 0.25;
/**
 * Share of the expected wait after which places are expected. In simulated
 * overload a retry after half of it is on time more often than one after all of
 * it, which has less time left.
 */
const SOON_SHARE = 0.5;
/** Shortest time after which callers may retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 50;
/**
 * Largest share of the time until its due time after which a retry can still be
 * on time: it waits again, and its stages take their time.
 */
const MAX_DUE_SHARE = 0.5;
/** Largest share by which a time is made longer or shorter at random. */
const JITTER = 0.3;

/** What is known of a refused request. */
export interface RefusedRequest {
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time until its results are due, in milliseconds. */
  readonly dueInMs: number;
  /** Wait that was expected in the queue, in milliseconds. */
  readonly waitMs?: number;
  /** Share of the newest requests that met a long queue. */
  readonly refusedShare: number;
}

/**
 * Time after which a caller that met a long queue may retry, in milliseconds.
 * It may retry once, and a second refusal costs it the whole answer. A burst is
 * over soon, so the time is the latest possible one while few requests are
 * refused. In a lasting overload a late retry meets the same queue and earns
 * little, so the time is that after which a place is expected, as long as a
 * retry can be on time. The jitter keeps these callers from returning together
 * as the next burst.
 */
export function queueRetryAfterMs(
  { remainingMs, dueInMs, waitMs, refusedShare }: RefusedRequest,
  random: Random = Math.random,
): number {
  const latestMs = Math.max(
    0,
    Math.min(MAX_RETRY_AFTER_MS, remainingMs * MAX_RETRY_SHARE),
  );
  const soonMs = waitMs === undefined
    ? Number.POSITIVE_INFINITY
    : Math.max(MIN_RETRY_AFTER_MS, waitMs * SOON_SHARE);
  const isLate = soonMs > dueInMs * MAX_DUE_SHARE;
  if (isLate || refusedShare < LASTING_SHARE) {
    return Math.round(latestMs * (1 - JITTER * random()));
  }
  const jittered = soonMs * (1 + JITTER * (2 * random() - 1));
  return Math.round(Math.min(latestMs, jittered));
}
