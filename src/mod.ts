/**
 * cassiapost as a library: processes, settings, data types and store clients.
 *
 * @module
 */

export { startAgent } from "./agent/mod.ts";
export { startEntry } from "./entry/mod.ts";
export * from "./config/mod.ts";
export * from "./model/mod.ts";
export * from "./store/mod.ts";
