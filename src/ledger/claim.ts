/**
 * Claims that make a non-idempotent call run at most once.
 *
 * A claim is a row that only one attempt can write, since the write demands
 * the version that the attempt was started with. The states go from absent or
 * not-run to claimed, and from claimed to done, unknown or not-run. Done is
 * final; unknown is left only by an operator. Each write makes the version
 * grow, so that calls started with an older version never get the claim.
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

/** States of a claim. */
export const ClaimState = {
  /** One attempt holds the key and may be running it. */
  Claimed: "claimed",
  /** The call ran; its result is in the row. */
  Done: "done",
  /** Nobody can tell whether the call ran. */
  Unknown: "unknown",
  /** Nothing ran; a call started with the row's version may claim the key. */
  NotRun: "not-run",
} as const;
export type ClaimState = typeof ClaimState[keyof typeof ClaimState];

/** Value of a claim row. */
export interface Claim {
  readonly state: ClaimState;
  /** Identifies the writer; no two attempts have the same. */
  readonly token: string;
  readonly requestId: RequestId;
  readonly callId: CallId;
  readonly fingerprint: string;
  readonly organisation: OrganisationId;
  readonly key: IdempotencyKey;
  readonly target: TargetId;
  /** Wall-clock time of the write, in milliseconds since the epoch. */
  readonly claimedAt: number;
  /** Wall-clock time by which the attempt ends, in the same unit. */
  readonly endsBy: number;
  readonly result?: StageResult;
}

/** What follows from a claim that stands in the table. */
export type ClaimDecision =
  | { readonly kind: "run" }
  | { readonly kind: "replay"; readonly result: StageResult }
  | { readonly kind: "running"; readonly refusal: Refusal }
  | { readonly kind: "refuse"; readonly refusal: Refusal };

/** The call for which a standing claim is judged. */
export interface ClaimSeeker {
  readonly token: string;
  readonly fingerprint: string;
}

/** Prefix of the keys of all claim rows. */
export const CLAIM_PREFIX = "claim/";
/**
 * Time that an agent waits beyond the deadline for the outcome of a
 * non-idempotent call, in milliseconds.
 */
export const LATE_OUTCOME_MS = 30_000;
const RUNNING_RETRY_MS = 1_000;

/** Key of the row that holds the claim of a call. */
export function claimKey(
  organisation: OrganisationId,
  key: IdempotencyKey,
): string {
  return `${CLAIM_PREFIX}${organisation}/${key}`;
}

/** New claim of an attempt. */
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
    endsBy: opts.now + call.remainingMs + LATE_OUTCOME_MS,
  };
}

/** Claim after the call ran. */
export function doneClaim(claim: Claim, result: StageResult): Claim {
  return { ...claim, state: ClaimState.Done, result };
}

/** Claim after the outcome was given up. */
export function unknownClaim(claim: Claim): Claim {
  return { ...claim, state: ClaimState.Unknown };
}

/** Claim after it became certain that nothing ran and nothing will. */
export function notRunClaim(claim: Claim): Claim {
  return { ...claim, state: ClaimState.NotRun };
}

/** True when the attempt that holds the claim is past its end. */
export function isOverdue(claim: Claim, now: number): boolean {
  return claim.state === ClaimState.Claimed && now >= claim.endsBy;
}

/** True when nobody can tell the outcome, whether the row says so yet or not. */
export function isOutcomeUnknown(claim: Claim, now: number): boolean {
  return claim.state === ClaimState.Unknown || isOverdue(claim, now);
}

/** Decides about a call from the claim that stands in the table. */
export function decideClaim(
  standing: Claim,
  seeker: ClaimSeeker,
  now: number,
): ClaimDecision {
  if (
    standing.token === seeker.token && standing.state === ClaimState.Claimed
  ) {
    return { kind: "run" };
  }
  if (standing.state === ClaimState.NotRun) {
    return refuse(notRun(
      RefusalReason.Superseded,
      "The key was closed for this call before it could run",
      RUNNING_RETRY_MS,
    ));
  }
  if (standing.fingerprint !== seeker.fingerprint) {
    return refuse(notRun(
      RefusalReason.KeyConflict,
      "The idempotency key was used with another request body",
    ));
  }
  if (standing.state === ClaimState.Done && standing.result) {
    return { kind: "replay", result: standing.result };
  }
  return isOutcomeUnknown(standing, now)
    ? refuse(outcomeUnknown(
      RefusalReason.KeyUnknown,
      "The outcome of a request with this idempotency key is unknown",
    ))
    : { kind: "running", refusal: keyRunning() };
}

/** How an operator resolves an unknown outcome. */
export const Resolution = { Run: "run", NotRun: "not-run" } as const;
export type Resolution = typeof Resolution[keyof typeof Resolution];

/**
 * Claim after an operator found out what happened, or undefined when its
 * outcome is not unknown. A call resolved as run has `{ resolvedAs: "run" }`
 * for its output, since its own result was lost.
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
    RUNNING_RETRY_MS,
  );
}

function refuse(refusal: Refusal): ClaimDecision {
  return { kind: "refuse", refusal };
}
