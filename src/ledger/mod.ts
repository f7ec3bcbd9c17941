/**
 * Claims that prevent non-idempotent calls from running twice.
 *
 * @module
 */

export * from "./claim.ts";
export * from "./retention.ts";
