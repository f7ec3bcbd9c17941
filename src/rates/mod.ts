/**
 * Keeps the limits on requests a second that targets name, over all entries
 * together.
 *
 * @module
 */

export * from "./known_limits.ts";
export * from "./ports.ts";
export * from "./rate_limits.ts";
export * from "./target_pauses.ts";
