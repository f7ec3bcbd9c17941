/**
 * Choice of targets.
 *
 * @module
 */

export * from "./cache_view.ts";
export * from "./choose.ts";
export * from "./hash.ts";
export * from "./health.ts";
export * from "./prefix.ts";
export * from "./subset.ts";
