/**
 * Progress of requests through their stages.
 *
 * @module
 */

export * from "./run.ts";
