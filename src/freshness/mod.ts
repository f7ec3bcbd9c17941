/**
 * Freshness of the configuration.
 *
 * @module
 */

export * from "./freshness.ts";
