/**
 * Certificates and keys of a process.
 *
 * @module
 */

export * from "./keys.ts";
export * from "./material.ts";
