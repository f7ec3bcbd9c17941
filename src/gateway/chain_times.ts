/**
 * Times that stages of a chain take without other queued work.
 *
 * @module
 */

import type { PlannedStage, StagePlan } from "../serving/mod.ts";

/** Returns the mean time of a call to a pool's targets, in milliseconds. */
export type CallTimeOf = (pool: string) => number;

/**
 * Expected time from the start of a stage to the end of the last stage that
 * depends on it, in milliseconds.
 */
export function remainingChainMs(
  callMs: CallTimeOf,
  plan: StagePlan,
  stage: PlannedStage,
): number {
  const ownMs = stage.pieces > 0 ? callMs(stage.spec.pool) : 0;
  const next = plan.stages
    .filter(({ spec }) => spec.after.includes(stage.index))
    .map((one) => remainingChainMs(callMs, plan, one));
  return ownMs + Math.max(0, ...next);
}

/** Time that a plan takes without other queued work, in milliseconds. */
export function unloadedChainMs(callMs: CallTimeOf, plan: StagePlan): number {
  return Math.max(
    0,
    ...plan.stages.map((stage) => remainingChainMs(callMs, plan, stage)),
  );
}
