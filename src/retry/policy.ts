/**
 * Decides which refused calls are retried and when a slow call is hedged.
 *
 * @module
 */

import { Proof, type Refusal, RefusalReason } from "../model/mod.ts";

/** Reasons that an attempt at another target can resolve. */
const RETRYABLE: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  RefusalReason.OverLimit,
  RefusalReason.ColdTarget,
  RefusalReason.TargetUnreachable,
  RefusalReason.TargetFailed,
  RefusalReason.TargetCrashed,
  RefusalReason.Leaving,
  RefusalReason.DomainOut,
  RefusalReason.NotConfirmed,
  RefusalReason.BrokenResponse,
  RefusalReason.Silent,
]);

/** Maximum number of attempts of one stage, including the first. */
export const MAX_ATTEMPTS = 3;
/** Quantile of the stage's latencies after which a call is hedged. */
export const HEDGE_QUANTILE = 0.95;
/** Latency samples of a stage required before its first hedge. */
export const HEDGE_MIN_SAMPLES = 50;
/** Shortest wait before a hedge, in milliseconds. */
const HEDGE_MIN_MS = 10;

/** True when a refused call may be retried, regardless of budgets. */
export function mayRetry(
  refusal: Refusal,
  call: { idempotent: boolean; attempt: number },
): boolean {
  return call.attempt < MAX_ATTEMPTS &&
    RETRYABLE.has(refusal.reason) &&
    (call.idempotent || refusal.proof === Proof.NotRun);
}

/**
 * Returns the refusal of a call after all its attempts: that of the last one,
 * as unknown if the outcome of any attempt is unknown.
 */
export function finalRefusal(attempts: readonly Refusal[]): Refusal {
  const last = attempts.at(-1) as Refusal;
  const isUnknown = attempts.some(({ proof }) =>
    proof === Proof.OutcomeUnknown
  );
  return isUnknown ? { ...last, proof: Proof.OutcomeUnknown } : last;
}

/** Latency statistics of a stage. */
export interface StageLatency {
  readonly count: number;
  /** Latency at {@linkcode HEDGE_QUANTILE}, in milliseconds. */
  readonly slowMs: number;
}

/**
 * Returns the wait before a call is hedged, in milliseconds, or undefined when
 * it is not: non-idempotent calls never are, nor calls of a stage with too few
 * samples, nor calls whose hedge would respond too late if it took as long as
 * the wait.
 */
export function hedgeAfterMs(
  call: { idempotent: boolean; remainingMs: number },
  latency: StageLatency,
): number | undefined {
  if (!call.idempotent || latency.count < HEDGE_MIN_SAMPLES) return undefined;
  const waitMs = Math.max(HEDGE_MIN_MS, latency.slowMs);
  return waitMs * 2 < call.remainingMs ? waitMs : undefined;
}
