/**
 * Retries.
 *
 * @module
 */

export * from "./budget.ts";
