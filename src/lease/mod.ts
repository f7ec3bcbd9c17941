/**
 * Leases with fencing numbers.
 *
 * @module
 */

export * from "./lease.ts";
