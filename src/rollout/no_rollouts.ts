/**
 * What the choice of targets uses of rollouts, and its neutral form.
 *
 * @module
 */

import type { ObservedCall } from "./observed_call.ts";
import type { RolloutControl } from "./rollout_control.ts";

/** Rollouts, as the choice of a target for a request uses them. */
export type RolloutTargets = Pick<RolloutControl, "targetsFor" | "observe">;

/** Rollouts, as the calls of stages use them. */
export type RolloutStages = Pick<
  RolloutControl,
  "membersOf" | "maxPieces" | "observe"
>;

const UNOBSERVED: ObservedCall = {
  reached: () => {},
  overdue: () => {},
  progressed: () => {},
  succeeded: () => {},
  failed: () => {},
  discarded: () => {},
};

/** No order is ever in force. */
export const NO_ROLLOUTS: RolloutTargets & RolloutStages = {
  targetsFor: (_pool, usable) => [usable],
  membersOf: (_pool, usable) => usable,
  maxPieces: () => Number.POSITIVE_INFINITY,
  observe: () => UNOBSERVED,
};
