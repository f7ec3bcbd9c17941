/**
 * Load and experiment tool.
 *
 * @module
 */

export * from "./answer.ts";
export * from "./arrivals.ts";
export * from "./audit.ts";
export * from "./caller.ts";
export * from "./report.ts";
export * from "./run.ts";
export * from "./settings.ts";
