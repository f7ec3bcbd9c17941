/**
 * Claims, which ensure that a non-idempotent call runs at most once.
 *
 * A claim is a row that only one attempt can write, because the write requires
 * the version that the attempt was started with. The state changes from absent
 * or not-run to claimed, and from claimed to done, unknown or not-run; closing
 * a key changes absent or not-run to not-run. Done is final; only an operator
 * resolves unknown. Each write increases the version, so that calls started
 * with an older version never obtain the claim.
 *
 * @module
 */

import {
  type CallId,
  digest,
  type IdempotencyKey,
  notRun,
  type OrganisationId,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type RequestId,
  type StageCall,
  type StageResult,
  type TargetId,
} from "../model/mod.ts";

/** State of a claim. */
export const ClaimState = {
  /** One attempt holds the key and may be running the call. */
  Claimed: "claimed",
  /** The call ran; the row contains its result. */
  Done: "done",
  /** It is not known whether the call ran. */
  Unknown: "unknown",
  /** Nothing ran; a call started with the row's version may claim the key. */
  NotRun: "not-run",
} as const;
export type ClaimState = typeof ClaimState[keyof typeof ClaimState];

/** Claim as it is stored in its row. */
export interface Claim {
  readonly state: ClaimState;
  /** Identifies the writer of the row; no two attempts have the same. */
  readonly token: string;
  readonly requestId: RequestId;
  readonly callId: CallId;
  readonly fingerprint: string;
  readonly organisation: OrganisationId;
  readonly key: IdempotencyKey;
  readonly target: TargetId;
  /**
   * Wall-clock time at which the claim was created, in milliseconds since the
   * epoch. Later states keep it.
   */
  readonly claimedAt: number;
  /** Wall-clock time by which the attempt ends, in the same unit. */
  readonly endsBy: number;
  readonly result?: StageResult;
}

/** How to proceed with a call, given the stored claim of its key. */
export type ClaimDecision =
  | { readonly kind: "run" }
  | { readonly kind: "replay"; readonly result: StageResult }
  | { readonly kind: "running"; readonly refusal: Refusal }
  | { readonly kind: "refuse"; readonly refusal: Refusal };

/** The attempt that is checked against a stored claim. */
export interface ClaimAttempt {
  readonly token: string;
  readonly fingerprint: string;
}

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = "claim/";
/**
 * Time that an agent waits for the outcome of a non-idempotent call after the
 * deadline, in milliseconds.
 */
export const OUTCOME_GRACE_MS = 30_000;
const RETRY_AFTER_MS = 1_000;

/** Returns the key of the row that stores the claim of an idempotency key. */
export function claimKey(
  organisation: OrganisationId,
  key: IdempotencyKey,
): string {
  return `${CLAIM_PREFIX}${organisation}/${key}`;
}

/** Creates the claim of an attempt. */
export function createClaim(
  call: StageCall,
  opts: { token: string; now: number },
): Claim {
  return {
    state: ClaimState.Claimed,
    token: opts.token,
    requestId: call.requestId,
    callId: call.callId,
    fingerprint: call.fingerprint,
    organisation: call.organisation,
    key: call.idempotencyKey ?? "",
    target: call.target,
    claimedAt: opts.now,
    endsBy: opts.now + call.remainingMs + OUTCOME_GRACE_MS,
  };
}

/** Returns the claim with the result of the call that ran. */
export function doneClaim(claim: Claim, result: StageResult): Claim {
  return { ...claim, state: ClaimState.Done, result };
}

/** Returns the claim with an unknown outcome. */
export function unknownClaim(claim: Claim): Claim {
  return { ...claim, state: ClaimState.Unknown };
}

/** Returns the claim of a call that has not run and never will. */
export function notRunClaim(claim: Claim): Claim {
  return { ...claim, state: ClaimState.NotRun };
}

/** True when the claim is still held after the attempt should have ended. */
export function isOverdue(claim: Claim, now: number): boolean {
  return claim.state === ClaimState.Claimed && now >= claim.endsBy;
}

/** True when the outcome is unknown, even if the row is not marked so yet. */
export function isOutcomeUnknown(claim: Claim, now: number): boolean {
  return claim.state === ClaimState.Unknown || isOverdue(claim, now);
}

/** Decides how to proceed with a call, given the stored claim of its key. */
export function decideClaim(
  stored: Claim,
  attempt: ClaimAttempt,
  now: number,
): ClaimDecision {
  if (
    stored.token === attempt.token && stored.state === ClaimState.Claimed
  ) {
    return { kind: "run" };
  }
  if (stored.state === ClaimState.NotRun) {
    return refuse(notRun(
      RefusalReason.Superseded,
      "The key was closed for this call before it could run",
      RETRY_AFTER_MS,
    ));
  }
  if (stored.fingerprint !== attempt.fingerprint) {
    return refuse(notRun(
      RefusalReason.KeyConflict,
      "The idempotency key was used with another request body",
    ));
  }
  if (stored.state === ClaimState.Done && stored.result) {
    return { kind: "replay", result: stored.result };
  }
  return isOutcomeUnknown(stored, now)
    ? refuse(outcomeUnknown(
      RefusalReason.KeyUnknown,
      "The outcome of a request with this idempotency key is unknown",
    ))
    : { kind: "running", refusal: keyRunning() };
}

/** Resolution of an unknown outcome by an operator. */
export const Resolution = { Run: "run", NotRun: "not-run" } as const;
export type Resolution = typeof Resolution[keyof typeof Resolution];

/**
 * Returns the claim as resolved by an operator, or undefined when its outcome
 * is not unknown. A call resolved as run gets the output
 * `{ resolvedAs: "run" }`, because its own result was lost.
 */
export function resolveClaim(
  claim: Claim,
  opts: { as: Resolution; now: number },
): Claim | undefined {
  if (!isOutcomeUnknown(claim, opts.now)) return undefined;
  if (opts.as === Resolution.NotRun) return notRunClaim(claim);
  const output = { resolvedAs: Resolution.Run };
  return doneClaim(claim, {
    callId: claim.callId,
    stage: claim.callId.split("/").at(-2) ?? "",
    fingerprint: claim.fingerprint,
    target: claim.target,
    output,
    digest: digest(output),
    tokens: 0,
    serviceMs: 0,
    queuedMs: 0,
    replayed: true,
  });
}

function keyRunning(): Refusal {
  return outcomeUnknown(
    RefusalReason.KeyRunning,
    "A request with this idempotency key is running",
    RETRY_AFTER_MS,
  );
}

function refuse(refusal: Refusal): ClaimDecision {
  return { kind: "refuse", refusal };
}
