/**
 * Schemas and validation of settings and of the operators' lists.
 *
 * @module
 */

export * from "./file.ts";
export * from "./finding.ts";
export * from "./lists.ts";
export * from "./reference.ts";
export * from "./settings.ts";
