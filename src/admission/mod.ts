/**
 * Which requests an entry lets in.
 *
 * @module
 */

export * from "./admission.ts";
export * from "./usage.ts";
