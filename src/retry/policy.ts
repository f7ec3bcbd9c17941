/**
 * Which refused calls may be sent again, and when a slow one is hedged.
 *
 * @module
 */

import { Proof, type Refusal, RefusalReason } from "../model/mod.ts";

/** Reasons that another attempt, at another target, can mend. */
const RETRYABLE: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  RefusalReason.OverLimit,
  RefusalReason.ColdTarget,
  RefusalReason.TargetUnreachable,
  RefusalReason.TargetFailed,
  RefusalReason.Leaving,
  RefusalReason.DomainOut,
  RefusalReason.NotConfirmed,
  RefusalReason.BrokenAnswer,
  RefusalReason.Silent,
]);

/** Attempts of one stage, the first included. */
export const MAX_ATTEMPTS = 3;
/** Share of the stage's latencies that end before a hedge is sent. */
export const HEDGE_QUANTILE = 0.95;
/** Measured calls of a stage before its first hedge. */
export const HEDGE_MIN_SAMPLES = 50;
/** Shortest wait before a hedge, in milliseconds. */
const HEDGE_MIN_MS = 10;

/** True when a refused call may be sent again, budgets aside. */
export function mayRetry(
  refusal: Refusal,
  call: { idempotent: boolean; attempt: number },
): boolean {
  return call.attempt < MAX_ATTEMPTS &&
    RETRYABLE.has(refusal.reason) &&
    (call.idempotent || refusal.proof === Proof.NotRun);
}

/**
 * Refusal of a call after all its attempts: the last one's, as unknown if the
 * outcome of any attempt is unknown.
 */
export function finalRefusal(attempts: readonly Refusal[]): Refusal {
  const last = attempts.at(-1) as Refusal;
  const isUnknown = attempts.some(({ proof }) =>
    proof === Proof.OutcomeUnknown
  );
  return isUnknown ? { ...last, proof: Proof.OutcomeUnknown } : last;
}

/** Latencies of a stage that were measured. */
export interface StageLatency {
  readonly count: number;
  /** Latency at {@linkcode HEDGE_QUANTILE}, in milliseconds. */
  readonly slowMs: number;
}

/**
 * Wait before a call is hedged, in milliseconds, or undefined when it is not:
 * non-idempotent calls never are, nor those that would answer too late.
 */
export function hedgeAfterMs(
  call: { idempotent: boolean; remainingMs: number },
  measured: StageLatency,
): number | undefined {
  if (!call.idempotent || measured.count < HEDGE_MIN_SAMPLES) return undefined;
  const waitMs = Math.max(HEDGE_MIN_MS, measured.slowMs);
  return waitMs * 2 < call.remainingMs ? waitMs : undefined;
}
