/**
 * Times of an order and the decision which phase comes next.
 *
 * @module
 */

import { RolloutPhase } from "../serving/mod.ts";
import type { Judgement } from "./judgement.ts";

/**
 * Part of the order's time before its deadline by which the last phase is
 * written, and its bounds in milliseconds: a write and its repetition.
 */
const WRITE_SHARE = 0.08;
const MIN_WRITE_MS = 800;
const MAX_WRITE_MS = 4_000;
/** Largest part of the order's time that the shift takes. */
const MAX_SHIFT_SHARE = 0.3;
/**
 * Shortest time of a shift, in milliseconds: all entries hear of it within one
 * report.
 */
const MIN_SHIFT_MS = 1_500;
/** Time without open requests at other builds after which a shift is over. */
const MIN_SETTLED_MS = 1_200;

/** Times since the order, in milliseconds. */
export interface RolloutTimes {
  readonly shiftAt: number;
  readonly completeAt: number;
}

/** Returns the times of an order; requests to the pool take `usualMs`. */
export function timesOf(durationMs: number, usualMs: number): RolloutTimes {
  const writeMs = Math.min(
    MAX_WRITE_MS,
    Math.max(MIN_WRITE_MS, WRITE_SHARE * durationMs),
  );
  const completeAt = Math.max(0, durationMs - writeMs);
  const shiftMs = Math.min(
    MAX_SHIFT_SHARE * durationMs,
    Math.max(MIN_SHIFT_MS, usualMs + MIN_SETTLED_MS),
  );
  return { completeAt, shiftAt: Math.max(0, completeAt - shiftMs) };
}

/** True for a phase that no other follows. */
export function isFinal(phase: RolloutPhase): boolean {
  return phase === RolloutPhase.Completed || phase === RolloutPhase.Reverted;
}

const ORDER: readonly RolloutPhase[] = [
  RolloutPhase.Observing,
  RolloutPhase.Shifting,
];

/** The later of two phases; of two final ones the first. */
export function laterPhase(a: RolloutPhase, b: RolloutPhase): RolloutPhase {
  if (isFinal(a)) return a;
  if (isFinal(b)) return b;
  return ORDER.indexOf(a) >= ORDER.indexOf(b) ? a : b;
}

/** What the decider knows of an order. */
export interface RolloutView {
  readonly phase: RolloutPhase;
  /** Time since the order, in milliseconds. */
  readonly ageMs: number;
  readonly times: RolloutTimes;
  /** Time since the shift began, in milliseconds. */
  readonly shiftedMs: number;
  readonly judgement: Judgement;
  /** True when the pool has a usable target of the new build. */
  readonly hasNewTargets: boolean;
  /** True when no entry has a request at another build. */
  readonly isSettled: boolean;
  /** True when the counts of all usable entries are known. */
  readonly hasAll: boolean;
}

/** Returns the next phase and its reason; undefined while none is due. */
export function nextPhase(
  view: RolloutView,
): { readonly phase: RolloutPhase; readonly reason: string } | undefined {
  const { phase, ageMs, times, judgement } = view;
  if (isFinal(phase)) return undefined;
  if (judgement.isBad) {
    return { phase: RolloutPhase.Reverted, reason: "the build is worse" };
  }
  if (phase === RolloutPhase.Observing) {
    if (ageMs < times.shiftAt || !view.hasAll) return undefined;
    return view.hasNewTargets
      ? { phase: RolloutPhase.Shifting, reason: "no evidence against it" }
      : { phase: RolloutPhase.Reverted, reason: "the build has no target" };
  }
  const isSettled = view.hasNewTargets && view.isSettled && view.hasAll &&
    !judgement.isSuspected &&
    view.shiftedMs >= MIN_SETTLED_MS;
  if (isSettled) {
    return { phase: RolloutPhase.Completed, reason: "nothing runs elsewhere" };
  }
  if (ageMs < times.completeAt) return undefined;
  return view.hasNewTargets
    ? { phase: RolloutPhase.Completed, reason: "the deadline is near" }
    : { phase: RolloutPhase.Reverted, reason: "the build has no target" };
}
