/**
 * Interfaces and clients of the platform's services.
 *
 * @module
 */

export * from "./counted.ts";
export * from "./error.ts";
export * from "./http.ts";
export * from "./stores.ts";
export * from "./table.ts";
