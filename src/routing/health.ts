/**
 * Outlier ejection: targets of one pool that fail, or respond far slower than
 * the others, receive no calls for a limited time and return with a slow start.
 *
 * The share of the pool that may be ejected is bounded: when most targets fail
 * or are slow the cause is probably elsewhere, and ejecting them would only
 * move their load to the rest. Do not report refusals by a gate here; a full
 * target is healthy.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { TargetId } from "../model/mod.ts";

/** Thresholds and limits of ejection. Times are in milliseconds. */
export interface HealthConfig {
  /**
   * Consecutive failures after which a target is ejected. A target in its slow
   * start is ejected after one.
   */
  readonly maxConsecutiveFailures: number;
  /** Multiple of the pool's service time at which a target is ejected. */
  readonly slowRatio: number;
  /** Minimum number of responses before a target is ejected as slow. */
  readonly minResponses: number;
  /** Duration of the first ejection; each further one is twice as long. */
  readonly baseEjectionMs: number;
  readonly maxEjectionMs: number;
  /** Time in which a returning target reaches its full weight. */
  readonly slowStartMs: number;
  /** Largest share of the pool that may be ejected at once. */
  readonly maxEjectedShare: number;
}

/** Default thresholds and limits. */
export const DEFAULT_HEALTH: HealthConfig = {
  maxConsecutiveFailures: 4,
  slowRatio: 4,
  minResponses: 10,
  baseEjectionMs: 2_000,
  maxEjectionMs: 30_000,
  slowStartMs: 8_000,
  maxEjectedShare: 0.34,
};

/** Weight of a target at the end of its ejection. */
export const INITIAL_WEIGHT = 0.1;
/** Weight of the newest response in a target's moving average. */
const TARGET_SMOOTHING = 0.2;
/** Weight of the newest response in the pool's moving average of a stage. */
const POOL_SMOOTHING = 0.05;

/** Health of one target. */
export interface TargetHealth {
  /** Failures since the last success or ejection. */
  readonly consecutiveFailures: number;
  /** Successful responses since the last ejection. */
  readonly responses: number;
  /** Moving average of service times relative to the pool's for the stage. */
  readonly serviceTimeRatio: number;
  /**
   * Number of ejections, which doubles the duration of the next one. Counted
   * anew when the target is ejected more than `slowStartMs` + `maxEjectionMs`
   * after the end of its last ejection.
   */
  readonly ejections: number;
  /** End of the newest ejection; undefined when there was none. */
  readonly ejectedUntil?: number;
}

/** Health of a pool. */
export interface PoolHealth {
  readonly cfg: HealthConfig;
  readonly targets: ReadonlyMap<TargetId, TargetHealth>;
  /** Moving average of each stage's service time in the pool, in ms. */
  readonly stageMs: ReadonlyMap<string, number>;
}

/** A change of the pool's members or the outcome of a call. */
export type HealthEvent =
  | { readonly kind: "members"; readonly targets: readonly TargetId[] }
  | {
    readonly kind: "done";
    readonly target: TargetId;
    readonly stage: string;
    readonly serviceMs: number;
  }
  | { readonly kind: "failed"; readonly target: TargetId };

const HEALTHY: TargetHealth = {
  consecutiveFailures: 0,
  responses: 0,
  serviceTimeRatio: 1,
  ejections: 0,
};

/** Returns the health of a pool without members. */
export function createHealth(cfg: HealthConfig = DEFAULT_HEALTH): PoolHealth {
  return { cfg, targets: new Map(), stageMs: new Map() };
}

/** Applies an event at monotonic time `now`, in milliseconds. */
export function applyHealth(
  state: PoolHealth,
  event: HealthEvent,
  now: number,
): PoolHealth {
  const next = applyEvent(state, event, now);
  invariant(
    ejectedCount(next, now) <= maxEjected(next),
    "ejected-share",
    () => `ejected=${ejectedCount(next, now)} of ${next.targets.size}`,
  );
  return next;
}

/**
 * Returns the weight of a target in the choice: 0 during an ejection, rising
 * during the slow start after it, otherwise 1.
 */
export function weightOf(
  state: PoolHealth,
  target: TargetId,
  now: number,
): number {
  const until = state.targets.get(target)?.ejectedUntil;
  if (until === undefined) return 1;
  if (now < until) return 0;
  const share = (now - until) / state.cfg.slowStartMs;
  return Math.min(1, INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * share);
}

/** Returns the number of targets that are ejected at `now`. */
export function ejectedCount(state: PoolHealth, now: number): number {
  return [...state.targets.keys()]
    .filter((target) => weightOf(state, target, now) === 0).length;
}

/** Returns how many targets of the pool may be ejected at once. */
export function maxEjected({ cfg, targets }: PoolHealth): number {
  return Math.floor(targets.size * cfg.maxEjectedShare);
}

function applyEvent(
  state: PoolHealth,
  event: HealthEvent,
  now: number,
): PoolHealth {
  switch (event.kind) {
    case "members":
      return replaceMembers(state, event.targets, now);
    case "done":
      return recordSuccess(state, event, now);
    case "failed":
      return recordFailure(state, event.target, now);
  }
}

/**
 * Replaces the members. If a smaller pool exceeds the bound, surplus ejections
 * end at once, starting with those that are closest to their end.
 */
function replaceMembers(
  state: PoolHealth,
  members: readonly TargetId[],
  now: number,
): PoolHealth {
  const targets = new Map(
    members.map((id) => [id, state.targets.get(id) ?? HEALTHY]),
  );
  const next = { ...state, targets };
  const surplus = ejectedCount(next, now) - maxEjected(next);
  if (surplus <= 0) return next;
  [...targets]
    .filter(([id]) => weightOf(next, id, now) === 0)
    .sort(([, a], [, b]) => (a.ejectedUntil ?? 0) - (b.ejectedUntil ?? 0))
    .slice(0, surplus)
    .forEach(([id, one]) => targets.set(id, { ...one, ejectedUntil: now }));
  return next;
}

function recordSuccess(
  state: PoolHealth,
  event: { target: TargetId; stage: string; serviceMs: number },
  now: number,
): PoolHealth {
  const before = state.targets.get(event.target);
  if (!before) return state;
  const poolMs = state.stageMs.get(event.stage) ?? event.serviceMs;
  const ratio = event.serviceMs / Math.max(1, poolMs);
  const after: TargetHealth = {
    ...before,
    consecutiveFailures: 0,
    responses: before.responses + 1,
    serviceTimeRatio: before.serviceTimeRatio +
      TARGET_SMOOTHING * (ratio - before.serviceTimeRatio),
  };
  const stageMs = new Map(state.stageMs)
    .set(event.stage, poolMs + POOL_SMOOTHING * (event.serviceMs - poolMs));
  const next = withTarget({ ...state, stageMs }, event.target, after);
  const isSlow = after.responses >= state.cfg.minResponses &&
    after.serviceTimeRatio >= state.cfg.slowRatio;
  return isSlow ? eject(next, event.target, now) : next;
}

function recordFailure(
  state: PoolHealth,
  target: TargetId,
  now: number,
): PoolHealth {
  const before = state.targets.get(target);
  if (!before) return state;
  const after = {
    ...before,
    consecutiveFailures: before.consecutiveFailures + 1,
  };
  const next = withTarget(state, target, after);
  const isReturning = weightOf(state, target, now) < 1;
  return isReturning ||
      after.consecutiveFailures >= state.cfg.maxConsecutiveFailures
    ? eject(next, target, now)
    : next;
}

function eject(state: PoolHealth, target: TargetId, now: number): PoolHealth {
  const before = state.targets.get(target) ?? HEALTHY;
  // Calls that started before the ejection may still end during it; their
  // outcomes do not extend it.
  if (weightOf(state, target, now) === 0) return state;
  if (ejectedCount(state, now) >= maxEjected(state)) return state;
  const { cfg } = state;
  const hasRecovered = before.ejectedUntil !== undefined &&
    now - before.ejectedUntil > cfg.slowStartMs + cfg.maxEjectionMs;
  const ejections = hasRecovered ? 0 : before.ejections;
  const ejectionMs = Math.min(
    cfg.maxEjectionMs,
    cfg.baseEjectionMs * 2 ** ejections,
  );
  return withTarget(state, target, {
    consecutiveFailures: 0,
    responses: 0,
    serviceTimeRatio: 1,
    ejections: ejections + 1,
    ejectedUntil: now + ejectionMs,
  });
}

function withTarget(
  state: PoolHealth,
  target: TargetId,
  health: TargetHealth,
): PoolHealth {
  return { ...state, targets: new Map(state.targets).set(target, health) };
}
