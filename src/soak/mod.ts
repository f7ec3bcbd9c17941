/**
 * Long seeded random runs of the composed system under a simulated clock.
 *
 * @module
 */

export * from "./audit.ts";
export * from "./history.ts";
