/**
 * Types and values shared by all other layers.
 *
 * @module
 */

export * from "./call.ts";
export * from "./cost.ts";
export * from "./digest.ts";
export * from "./ids.ts";
export * from "./lists.ts";
export * from "./prompt.ts";
export * from "./prompt_blocks.ts";
export * from "./outage_rule.ts";
export * from "./refusal.ts";
export * from "./target.ts";
