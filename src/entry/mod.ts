/**
 * The entry process that callers speak to.
 *
 * @module
 */

export { startEntry } from "./start.ts";
export * from "./problem.ts";
