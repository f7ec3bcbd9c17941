/**
 * Membership of targets and hosts.
 *
 * @module
 */

export * from "./view.ts";
