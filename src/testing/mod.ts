/**
 * Helpers for tests and simulated runs.
 *
 * @module
 */

export * from "./paused_clock.ts";
