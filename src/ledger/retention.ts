/**
 * Retention of claim rows.
 *
 * @module
 */

import { type Claim, ClaimState, isOverdue } from "./claim.ts";

const HOUR_MS = 3_600_000;

/** Time that a result is kept for repeated requests, in milliseconds. */
export const DONE_RETENTION_MS = 24 * HOUR_MS;
/**
 * Time that a not-run row is kept, in milliseconds. The row prevents calls
 * started with an older version from running, so that the time has to exceed
 * the longest deadline, which it does by far.
 */
export const NOT_RUN_RETENTION_MS = HOUR_MS;
/** Time after its end before a claim is marked unknown, in milliseconds. */
export const OVERDUE_GRACE_MS = 30_000;

/** Action of the sweeper on a claim row. */
export const SweepAction = {
  Keep: "keep",
  Delete: "delete",
  MarkUnknown: "mark-unknown",
} as const;
export type SweepAction = typeof SweepAction[keyof typeof SweepAction];

/**
 * Returns the action for a claim at wall-clock time `now`, in milliseconds
 * since the epoch. An unknown outcome is kept until an operator resolves it.
 */
export function sweepAction(claim: Claim, now: number): SweepAction {
  const age = now - claim.claimedAt;
  switch (claim.state) {
    case ClaimState.Done:
      return age > DONE_RETENTION_MS ? SweepAction.Delete : SweepAction.Keep;
    case ClaimState.NotRun:
      return age > NOT_RUN_RETENTION_MS ? SweepAction.Delete : SweepAction.Keep;
    case ClaimState.Claimed:
      return isOverdue(claim, now - OVERDUE_GRACE_MS)
        ? SweepAction.MarkUnknown
        : SweepAction.Keep;
    case ClaimState.Unknown:
      return SweepAction.Keep;
  }
}
