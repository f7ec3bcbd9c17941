/**
 * Membership of targets and hosts.
 *
 * @module
 */

export * from "./changes.ts";
export * from "./hosts.ts";
export * from "./registration.ts";
export * from "./view.ts";
