/**
 * The operators' lists as immutable values: changes, deltas and histories.
 *
 * @module
 */

export * from "./change.ts";
export * from "./delta.ts";
export * from "./describe.ts";
export * from "./history.ts";
