/**
 * Progress of requests through their stages.
 *
 * @module
 */

export * from "./answer.ts";
export * from "./run.ts";
export * from "./verdict.ts";
