/**
 * Admission of requests at an entry.
 *
 * @module
 */

export * from "./admission.ts";
export * from "./usage.ts";
