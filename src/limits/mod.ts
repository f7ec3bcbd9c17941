/**
 * Limits of the work that reaches a target.
 *
 * @module
 */

export * from "./estimate.ts";
export * from "./fair_queue.ts";
export * from "./gate.ts";
export * from "./limit.ts";
export * from "./wait.ts";
