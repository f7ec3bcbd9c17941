/**
 * HTTP clients that take a limited number of bytes from their peers, limits of
 * what the clients of a server make it hold, and the end of connections on which a server can read no further request, and the
 * closing of its idle connections.
 *
 * @module
 */

export * from "./bounded_client.ts";
export * from "./client_budget.ts";
export * from "./client_errors.ts";
export * from "./connection_guard.ts";
export * from "./idle_connections.ts";
export { isNotSent } from "./not_sent.ts";
export type { OwnResponse, SkippedResponse } from "./response_filter.ts";
export { HolderPhase } from "./shed_order.ts";
export * from "./text_request.ts";
export { endsWithConnection } from "./truncation.ts";
