/**
 * Typed refusals. The proof of a refusal states either that the work did not
 * run, or that its outcome is unknown.
 *
 * @module
 */

/** Whether the refused work is known not to have run. */
export const Proof = {
  /** The work did not run and will not run on behalf of this request. */
  NotRun: "not-run",
  /** The work may have run, may be running or may not have started. */
  OutcomeUnknown: "outcome-unknown",
} as const;
export type Proof = typeof Proof[keyof typeof Proof];

/** Reason why a request or a stage call was refused. */
export const RefusalReason = {
  BadRequest: "bad-request",
  BodyTooLarge: "body-too-large",
  Unauthenticated: "unauthenticated",
  NotPermitted: "not-permitted",
  UnknownPipeline: "unknown-pipeline",
  DeadlineTooShort: "deadline-too-short",
  DeadlineExceeded: "deadline-exceeded",
  OverLimit: "over-limit",
  OverShare: "over-share",
  ColdTarget: "cold-target",
  NoTarget: "no-target",
  TargetUnreachable: "target-unreachable",
  TargetFailed: "target-failed",
  /** The target ended while it worked on the call. */
  TargetCrashed: "target-crashed",
  /** Targets have crashed on calls with the same content. */
  Quarantined: "quarantined",
  Leaving: "leaving",
  DomainOut: "domain-out",
  PlatformUnavailable: "platform-unavailable",
  KeyConflict: "key-conflict",
  KeyRunning: "key-running",
  KeyUnknown: "key-unknown",
  Superseded: "superseded",
  NotConfirmed: "configuration-not-confirmed",
  Silent: "connection-silent",
  BrokenResponse: "broken-answer",
  Cancelled: "cancelled",
  Internal: "internal",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** Final negative response to a request or a stage call. */
export interface Refusal {
  readonly proof: Proof;
  readonly reason: RefusalReason;
  /** One sentence for the reader of the response. */
  readonly detail: string;
  /** Shortest time after which a retry is useful, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Returns a refusal of work that is known not to have run. */
export function notRun(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { proof: Proof.NotRun, reason, detail, retryAfterMs };
}

/** Returns a refusal of work whose outcome is unknown. */
export function outcomeUnknown(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { proof: Proof.OutcomeUnknown, reason, detail, retryAfterMs };
}
