/**
 * HTTP clients that take a limited number of bytes from their peers.
 *
 * @module
 */

export * from "./bounded_client.ts";
export type { OwnResponse, SkippedResponse } from "./response_filter.ts";
export * from "./text_request.ts";
export { endsWithConnection } from "./truncation.ts";
