/**
 * Refusals of stage calls that were not sent.
 *
 * @module
 */

import { notRun, type Refusal, RefusalReason } from "../model/mod.ts";

const RETRY_AFTER_MS = 1_000;

/** The key was claimed or closed by another request. */
export function superseded(): Refusal {
  return notRun(
    RefusalReason.Superseded,
    "Another request with the key took over",
    RETRY_AFTER_MS,
  );
}

/** No time is left. */
export function tooLate(): Refusal {
  return notRun(
    RefusalReason.DeadlineExceeded,
    "The deadline passed before the stage was sent",
    RETRY_AFTER_MS,
  );
}

/** Nobody waits for the answer. */
export function callerGone(): Refusal {
  return notRun(
    RefusalReason.Cancelled,
    "The caller gave the request up before the stage was sent",
  );
}

/** The pool has no target for the call. */
export function noTarget(pool: string): Refusal {
  return notRun(
    RefusalReason.NoTarget,
    `No target of pool ${pool} takes work`,
    RETRY_AFTER_MS,
  );
}
