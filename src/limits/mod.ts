/**
 * Limits of the work that reaches a target.
 *
 * @module
 */

export * from "./gate.ts";
