/**
 * Claims that make a non-idempotent call run at most once.
 *
 * A claim is a row that only one attempt can insert. Its state goes from
 * claimed to done or from claimed to unknown, and never back.
 *
 * @module
 */

import {
  type CustomerId,
  type IdempotencyKey,
  notRun,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type TargetId,
} from "../model/mod.ts";

/** States of a claim. */
export const ClaimState = {
  Claimed: "claimed",
  Done: "done",
  Unknown: "unknown",
} as const;
export type ClaimState = typeof ClaimState[keyof typeof ClaimState];

/** Value of a claim row. */
export interface Claim {
  readonly state: ClaimState;
  /** Identifies the attempt that inserted the row. */
  readonly token: string;
  readonly fingerprint: string;
  readonly customer: CustomerId;
  readonly key: IdempotencyKey;
  readonly target: TargetId;
  /** Wall-clock time of the insert, in milliseconds since the epoch. */
  readonly claimedAt: number;
  /** Wall-clock time by which the attempt ends, in the same unit. */
  readonly endsBy: number;
  readonly result?: StageResult;
}

/** What an agent does about a call whose claim was refused. */
export type ClaimDecision =
  | { readonly kind: "run" }
  | { readonly kind: "replay"; readonly result: StageResult }
  | { readonly kind: "refuse"; readonly refusal: Refusal };

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = "claim/";
const RUNNING_RETRY_MS = 1_000;

/** Key of the row that holds the claim of a call. */
export function claimKey(customer: CustomerId, key: IdempotencyKey): string {
  return `${CLAIM_PREFIX}${customer}/${key}`;
}

/** New claim of an attempt. */
export function createClaim(
  call: StageCall,
  opts: { token: string; now: number },
): Claim {
  return {
    state: ClaimState.Claimed,
    token: opts.token,
    fingerprint: call.fingerprint,
    customer: call.customer,
    key: call.idempotencyKey ?? "",
    target: call.target,
    claimedAt: opts.now,
    endsBy: opts.now + call.remainingMs,
  };
}

/** Decides about a call from the claim that stands in the table. */
export function decideClaim(
  standing: Claim,
  own: Claim,
  now: number,
): ClaimDecision {
  if (standing.token === own.token) return { kind: "run" };
  if (standing.fingerprint !== own.fingerprint) {
    return refuse(notRun(
      RefusalReason.KeyConflict,
      "The idempotency key was used with another request body",
    ));
  }
  if (standing.state === ClaimState.Done && standing.result) {
    return { kind: "replay", result: standing.result };
  }
  if (standing.state === ClaimState.Claimed && now < standing.endsBy) {
    return refuse(outcomeUnknown(
      RefusalReason.KeyRunning,
      "A request with this idempotency key is running",
      RUNNING_RETRY_MS,
    ));
  }
  return refuse(outcomeUnknown(
    RefusalReason.KeyUnknown,
    "The outcome of a request with this idempotency key is unknown",
  ));
}

function refuse(refusal: Refusal): ClaimDecision {
  return { kind: "refuse", refusal };
}
