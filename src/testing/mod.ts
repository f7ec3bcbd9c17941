/**
 * Support for tests and simulated runs.
 *
 * @module
 */

export * from "./flood_server.ts";
export * from "./paused_clock.ts";
