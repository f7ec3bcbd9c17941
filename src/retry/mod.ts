/**
 * Retries.
 *
 * @module
 */

export * from "./budget.ts";
export * from "./policy.ts";
