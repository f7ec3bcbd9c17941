/**
 * Progress of requests through their stages.
 *
 * @module
 */

export * from "./call_response.ts";
export * from "./run.ts";
export * from "./request_refusal.ts";
