/**
 * Outlier ejection: targets of one pool that fail, or answer far slower than
 * their peers, get no work for a while and come back slowly.
 *
 * The share of the pool that may be ejected is bounded: when most targets
 * look bad the cause is likely elsewhere, and ejecting them would only move
 * their load to the rest. Do not report refusals by a gate here; a full
 * target is healthy.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { TargetId } from "../model/mod.ts";

/** Bounds of the ejection. Times are in milliseconds. */
export interface HealthConfig {
  /** Failures in a row after which a target is ejected. */
  readonly maxFailures: number;
  /** Service time as a multiple of the pool's at which a target is ejected. */
  readonly slowRatio: number;
  /** Answers before slowness is judged. */
  readonly minAnswers: number;
  /** Length of the first ejection; each further one is twice as long. */
  readonly ejectMs: number;
  readonly maxEjectMs: number;
  /** Time in which a returning target regains its full weight. */
  readonly returnMs: number;
  /** Largest share of the pool that is ejected at once. */
  readonly maxEjectedShare: number;
}

/** Usual bounds. */
export const DEFAULT_HEALTH: HealthConfig = {
  maxFailures: 4,
  slowRatio: 4,
  minAnswers: 10,
  ejectMs: 2_000,
  maxEjectMs: 30_000,
  returnMs: 8_000,
  maxEjectedShare: 0.34,
};

/** Weight with which a target starts to return. */
export const MIN_WEIGHT = 0.1;
/** Weight of the newest answer in a target's mean. */
const TARGET_ALPHA = 0.2;
/** Weight of the newest answer in the pool's mean of a stage. */
const POOL_ALPHA = 0.05;

/** What is remembered of one target. */
export interface TargetHealth {
  /** Failures since the last success. */
  readonly failures: number;
  /** Answers since the last ejection. */
  readonly answers: number;
  /** Mean service time as a multiple of the pool's for the same stage. */
  readonly slowness: number;
  /** Ejections since the last full return. */
  readonly ejections: number;
  /** End of the newest ejection; undefined when there was none. */
  readonly ejectedUntil?: number;
}

/** Health of a pool. */
export interface PoolHealth {
  readonly cfg: HealthConfig;
  readonly targets: ReadonlyMap<TargetId, TargetHealth>;
  /** Mean service time of each stage over the pool, in milliseconds. */
  readonly stageMs: ReadonlyMap<string, number>;
}

/** Something that happened to the pool. */
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
  failures: 0,
  answers: 0,
  slowness: 1,
  ejections: 0,
};

/** Pool without members. */
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
 * Weight of a target in the choice: 0 while it is ejected, growing while it
 * returns, 1 otherwise.
 */
export function weightOf(
  state: PoolHealth,
  target: TargetId,
  now: number,
): number {
  const until = state.targets.get(target)?.ejectedUntil;
  if (until === undefined) return 1;
  if (now < until) return 0;
  const share = (now - until) / state.cfg.returnMs;
  return Math.min(1, MIN_WEIGHT + (1 - MIN_WEIGHT) * share);
}

/** Number of targets that are ejected at `now`. */
export function ejectedCount(state: PoolHealth, now: number): number {
  return [...state.targets.keys()]
    .filter((target) => weightOf(state, target, now) === 0).length;
}

/** Most targets of the pool that may be ejected at once. */
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
      return withMembers(state, event.targets, now);
    case "done":
      return done(state, event, now);
    case "failed":
      return failed(state, event.target, now);
  }
}

/** Replaces the members; the longest ejected return first in a smaller pool. */
function withMembers(
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

function done(
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
    failures: 0,
    answers: before.answers + 1,
    slowness: before.slowness + TARGET_ALPHA * (ratio - before.slowness),
  };
  const stageMs = new Map(state.stageMs)
    .set(event.stage, poolMs + POOL_ALPHA * (event.serviceMs - poolMs));
  const next = withTarget({ ...state, stageMs }, event.target, after);
  const isSlow = after.answers >= state.cfg.minAnswers &&
    after.slowness >= state.cfg.slowRatio;
  return isSlow ? eject(next, event.target, now) : next;
}

function failed(
  state: PoolHealth,
  target: TargetId,
  now: number,
): PoolHealth {
  const before = state.targets.get(target);
  if (!before) return state;
  const after = { ...before, failures: before.failures + 1 };
  const next = withTarget(state, target, after);
  const isReturning = weightOf(state, target, now) < 1;
  return isReturning || after.failures >= state.cfg.maxFailures
    ? eject(next, target, now)
    : next;
}

function eject(state: PoolHealth, target: TargetId, now: number): PoolHealth {
  const before = state.targets.get(target) ?? HEALTHY;
  // Calls that began before the ejection still end; they do not prolong it.
  if (weightOf(state, target, now) === 0) return state;
  if (ejectedCount(state, now) >= maxEjected(state)) return state;
  const { cfg } = state;
  const recovered = before.ejectedUntil !== undefined &&
    now - before.ejectedUntil > cfg.returnMs + cfg.maxEjectMs;
  const ejections = recovered ? 0 : before.ejections;
  const lengthMs = Math.min(cfg.maxEjectMs, cfg.ejectMs * 2 ** ejections);
  return withTarget(state, target, {
    failures: 0,
    answers: 0,
    slowness: 1,
    ejections: ejections + 1,
    ejectedUntil: now + lengthMs,
  });
}

function withTarget(
  state: PoolHealth,
  target: TargetId,
  health: TargetHealth,
): PoolHealth {
  return { ...state, targets: new Map(state.targets).set(target, health) };
}
