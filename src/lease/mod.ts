/**
 * Orders to engines: leases with fencing numbers, and the desired setups.
 *
 * @module
 */

export * from "./engine_setup.ts";
export * from "./lease.ts";
