/**
 * HTTP clients that take a limited number of bytes from their peers, and the
 * closing of servers' idle connections.
 *
 * @module
 */

export * from "./bounded_client.ts";
export * from "./idle_connections.ts";
export * from "./text_request.ts";
