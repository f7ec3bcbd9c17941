/**
 * Typed refusals. A refusal carries a proof: either the work did not run, or
 * the system cannot tell.
 *
 * @module
 */

/** What the system knows about the refused work. */
export const Proof = {
  /** The work did not run and will not run on behalf of this request. */
  NotRun: "not-run",
  /** The work may have run, may be running or may not have started. */
  OutcomeUnknown: "outcome-unknown",
} as const;
export type Proof = typeof Proof[keyof typeof Proof];

/** Why a request or a stage call was refused. */
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
  Leaving: "leaving",
  DomainOut: "domain-out",
  PlatformUnavailable: "platform-unavailable",
  KeyConflict: "key-conflict",
  KeyRunning: "key-running",
  KeyUnknown: "key-unknown",
  Superseded: "superseded",
  NotConfirmed: "configuration-not-confirmed",
  Silent: "connection-silent",
  BrokenAnswer: "broken-answer",
  Cancelled: "cancelled",
  Internal: "internal",
} as const;
export type RefusalReason = typeof RefusalReason[keyof typeof RefusalReason];

/** A final negative answer for a request or one stage call. */
export interface Refusal {
  readonly proof: Proof;
  readonly reason: RefusalReason;
  /** One sentence for the reader of the answer. */
  readonly detail: string;
  /** Earliest time after which a repeat makes sense, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** Refusal of work that is known not to have run. */
export function notRun(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { proof: Proof.NotRun, reason, detail, retryAfterMs };
}

/** Refusal of work whose outcome the system cannot tell. */
export function outcomeUnknown(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): Refusal {
  return { proof: Proof.OutcomeUnknown, reason, detail, retryAfterMs };
}
