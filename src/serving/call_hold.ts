/**
 * Decides whether a call with few pieces waits for more. Most of the time of a
 * call does not depend on its number of pieces, so a small call on the last free
 * target of a busy pool takes the place of a larger one that is about to form.
 *
 * @module
 */

/** What is known of a pool in which a call could be sent. */
export interface CallOutlook {
  /** Pieces that the call would carry. */
  readonly pieces: number;
  readonly maxPieces: number;
  /** Targets that could take the call. */
  readonly freeTargets: number;
  /** Targets that are not paused. */
  readonly activeTargets: number;
  /** Expected time of a full call, in milliseconds. */
  readonly callMs: number;
  /** Time until the first waiting piece has to start, in milliseconds. */
  readonly slackMs: number;
  /** Time for which a call has been held back, in milliseconds. */
  readonly heldMs: number;
}

/** Share of the targets up to which free ones are the last of a busy pool. */
const LAST_FREE_SHARE = 0.1;
/** Share of a full call from which a call is not held back. */
const ENOUGH_SHARE = 0.5;
/**
 * Longest time to hold back a call, as a multiple of the mean time between the
 * ends of calls of the pool: by then another target is free.
 */
const MAX_HOLD_ENDS = 1.5;
/** Share of a call that has to be left as slack of every waiting piece. */
const SLACK_CALLS = 0.5;

/** Returns for how long to hold back a call, in milliseconds; 0 to send it. */
export function holdMs(outlook: CallOutlook): number {
  const { pieces, maxPieces, freeTargets, activeTargets, callMs } = outlook;
  const isEnough = pieces >= maxPieces * ENOUGH_SHARE;
  const areOthersFree = freeTargets >
    Math.max(1, activeTargets * LAST_FREE_SHARE);
  // Without other targets no call ends meanwhile.
  if (isEnough || areOthersFree || activeTargets < 2) return 0;
  const longestMs = MAX_HOLD_ENDS * callMs / activeTargets - outlook.heldMs;
  const slackMs = outlook.slackMs - SLACK_CALLS * callMs;
  return Math.max(0, Math.min(longestMs, slackMs));
}
