/**
 * Load tool: plans and sends requests, and summarises and audits the outcomes.
 *
 * @module
 */

export * from "./response.ts";
export * from "./arrivals.ts";
export * from "./audit.ts";
export * from "./caller.ts";
export * from "./report.ts";
export * from "./run.ts";
export * from "./settings.ts";
