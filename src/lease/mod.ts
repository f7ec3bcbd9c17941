/**
 * Orders to engines: leases with fencing numbers, and what to order.
 *
 * @module
 */

export * from "./desired.ts";
export * from "./lease.ts";
