/**
 * Conversion of refusals to problem details for HTTP (RFC 9457).
 *
 * @module
 */

import { Proof, type Refusal, RefusalReason } from "../model/mod.ts";

/** Media type of a problem document. */
export const PROBLEM_MEDIA_TYPE = "application/problem+json";
const MS_PER_S = 1000;

/** HTTP status by reason; others have {@linkcode DEFAULT_STATUS}. */
const STATUS_BY_REASON: Partial<Record<RefusalReason, number>> = {
  [RefusalReason.BadRequest]: 400,
  [RefusalReason.BodyTooLarge]: 413,
  [RefusalReason.Unauthenticated]: 401,
  [RefusalReason.NotPermitted]: 403,
  [RefusalReason.UnknownPipeline]: 404,
  [RefusalReason.KeyConflict]: 409,
  [RefusalReason.KeyRunning]: 409,
  [RefusalReason.KeyUnknown]: 409,
  [RefusalReason.DeadlineTooShort]: 422,
  [RefusalReason.OverShare]: 429,
  [RefusalReason.OverLimit]: 503,
  [RefusalReason.DeadlineExceeded]: 504,
  [RefusalReason.TargetFailed]: 502,
  [RefusalReason.Silent]: 502,
  [RefusalReason.Internal]: 500,
};
const DEFAULT_STATUS = 503;
/** Statuses after which callers and proxies take a request for not run. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const BAD_GATEWAY = 502;

/** A problem document with this system's extension members. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  /** What is known about the work; see {@linkcode Proof}. */
  readonly outcome: Proof;
  readonly requestId?: string;
  readonly retryAfterMs?: number;
}

/** Returns the problem document of a refusal. */
export function problemOf(refusal: Refusal, requestId?: string): Problem {
  return {
    type: `urn:cassiapost:refusal:${refusal.reason}`,
    title: titleOf(refusal),
    status: statusOf(refusal),
    detail: refusal.detail,
    outcome: refusal.proof,
    requestId,
    retryAfterMs: refusal.retryAfterMs,
  };
}

/** Returns the response headers for a problem document. */
export function problemHeaders(problem: Problem): Record<string, string> {
  return {
    "content-type": PROBLEM_MEDIA_TYPE,
    ...(problem.retryAfterMs === undefined ? {} : {
      "retry-after": String(Math.ceil(problem.retryAfterMs / MS_PER_S)),
    }),
  };
}

function statusOf({ reason, proof }: Refusal): number {
  const status = STATUS_BY_REASON[reason] ?? DEFAULT_STATUS;
  return proof === Proof.OutcomeUnknown && NOT_RUN_STATUSES.includes(status)
    ? BAD_GATEWAY
    : status;
}

function titleOf(refusal: Refusal): string {
  const words = refusal.reason.replaceAll("-", " ");
  const title = words.charAt(0).toUpperCase() + words.slice(1);
  return refusal.proof === Proof.NotRun
    ? `${title}, not run`
    : `${title}, outcome unknown`;
}
