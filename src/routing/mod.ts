/**
 * Choice of targets.
 *
 * @module
 */

export * from "./choose.ts";
