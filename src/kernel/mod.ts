/**
 * Basis of a process: services, time, random numbers and invariants.
 *
 * @module
 */

export * from "./byte_buffer.ts";
export * from "./invariant.ts";
export * from "./kernel.ts";
export * from "./queue.ts";
export * from "./shared_run.ts";
export * from "./sleep.ts";
export * from "./random.ts";
export * from "./watchdog.ts";
