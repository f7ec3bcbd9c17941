/**
 * Refusals of stage calls that were not sent.
 *
 * @module
 */

import type { PromptRefusal } from "../crashes/mod.ts";
import { notRun, type Refusal, RefusalReason } from "../model/mod.ts";

const RETRY_AFTER_MS = 1_000;

/** Refusal when another request claimed or closed the key. */
export function superseded(): Refusal {
  return notRun(
    RefusalReason.Superseded,
    "Another request with the key took over",
    RETRY_AFTER_MS,
  );
}

/** Refusal when the deadline has passed. */
export function deadlinePassed(): Refusal {
  return notRun(
    RefusalReason.DeadlineExceeded,
    "The deadline passed before the stage was sent",
    RETRY_AFTER_MS,
  );
}

/** Refusal when the caller no longer waits for the response. */
export function callerCancelled(): Refusal {
  return notRun(
    RefusalReason.Cancelled,
    "The caller gave the request up before the stage was sent",
  );
}

/** Refusal when targets have crashed on calls with the same content. */
export function quarantined({ segment, retryAfterMs }: PromptRefusal): Refusal {
  return notRun(
    RefusalReason.Quarantined,
    `Targets have crashed on calls with the content ${segment}`,
    retryAfterMs,
  );
}

/** Refusal when the pool has no target for the call. */
export function noTarget(pool: string): Refusal {
  return notRun(
    RefusalReason.NoTarget,
    `No target of pool ${pool} takes work`,
    RETRY_AFTER_MS,
  );
}
