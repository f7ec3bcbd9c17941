/**
 * Target selection: load balancing, prefix affinity, health and subsetting.
 *
 * @module
 */

export * from "./cache_view.ts";
export * from "./choose.ts";
export * from "./hash.ts";
export * from "./health.ts";
export * from "./prefix.ts";
export * from "./subset.ts";
