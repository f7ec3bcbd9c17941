/**
 * Logs, metrics, traces and estimates of durations.
 *
 * @module
 */

export * from "./estimate.ts";
export * from "./log.ts";
export * from "./metrics.ts";
export * from "./stall_monitor.ts";
export * from "./trace.ts";
