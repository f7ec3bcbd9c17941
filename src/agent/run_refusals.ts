/**
 * Refusals of calls that passed the gate.
 *
 * @module
 */

import {
  notRun,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
} from "../model/mod.ts";
import type { TargetFailure } from "./target_client.ts";

const RETRY_AFTER_MS = 1_000;

/**
 * Returns the refusal of a call that passed its deadline while the target may
 * have been running it.
 */
export function deadlinePassed(): Refusal {
  return outcomeUnknown(
    RefusalReason.DeadlineExceeded,
    "The deadline passed while the call was at the target",
    RETRY_AFTER_MS,
  );
}

/**
 * Returns the refusal of a call that was claimed only after its deadline. Its
 * proof closes the claim as not run.
 */
export function claimedAfterDeadline(): Refusal {
  return notRun(
    RefusalReason.DeadlineExceeded,
    "The claim came after the deadline, so the call was not sent",
    RETRY_AFTER_MS,
  );
}

/** Returns the refusal of a call whose target ended while it worked on it. */
export function targetCrashed({ detail }: TargetFailure): Refusal {
  return outcomeUnknown(RefusalReason.TargetCrashed, detail, RETRY_AFTER_MS);
}

/** Returns the refusal that follows from the failure of a target. */
export function refusalOf(failure: TargetFailure): Refusal {
  const { reason, detail } = failure;
  return failure.mayHaveRun
    ? outcomeUnknown(reason, detail, RETRY_AFTER_MS)
    : notRun(reason, detail, RETRY_AFTER_MS);
}
