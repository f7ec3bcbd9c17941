/**
 * Moves the requests of a pool to another build at an operator's order: bounds
 * what a bad build gets, compares it with the others, and decides whether the
 * pool moves to it or away from it.
 *
 * @module
 */

export * from "./evidence.ts";
export * from "./exposure.ts";
export * from "./judgement.ts";
export * from "./no_rollouts.ts";
export * from "./observed_call.ts";
export * from "./open_calls.ts";
export * from "./phases.ts";
export * from "./pool_rollout.ts";
export * from "./ports.ts";
export * from "./rollout_control.ts";
export * from "./rollout_decider.ts";
