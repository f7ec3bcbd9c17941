/**
 * Decides which requests and segments of prompts crash the targets that work on
 * them. Pure.
 *
 * @module
 */

export * from "./crash_evidence.ts";
export * from "./prompt_segments.ts";
export * from "./quarantine.ts";
export * from "./request_content.ts";
