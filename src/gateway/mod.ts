/**
 * Entry that calls its targets itself, for platforms without a process beside
 * each target. Adapters implement the ports.
 *
 * @module
 */

export * from "./fleet_view.ts";
export * from "./ports.ts";
export * from "./settings.ts";
export * from "./start.ts";
