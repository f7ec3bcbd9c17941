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

/** The target sent nothing for too long. */
export function targetSilent(): Refusal {
  return outcomeUnknown(
    RefusalReason.Silent,
    "The target made no progress",
    RETRY_AFTER_MS,
  );
}

/** The call was given up while the target may run it. */
export function deadlinePassed(): Refusal {
  return outcomeUnknown(
    RefusalReason.DeadlineExceeded,
    "The deadline passed while the call was at the target",
    RETRY_AFTER_MS,
  );
}

/** The claim is withdrawn, since no time is left. */
export function claimedLate(): Refusal {
  return notRun(
    RefusalReason.DeadlineExceeded,
    "The claim came after the deadline, so the call was not sent",
    RETRY_AFTER_MS,
  );
}

/** What the failure of a target proves. */
export function refusalOf(failure: TargetFailure): Refusal {
  const { reason, detail } = failure;
  return failure.mayHaveRun
    ? outcomeUnknown(reason, detail, RETRY_AFTER_MS)
    : notRun(reason, detail, RETRY_AFTER_MS);
}
