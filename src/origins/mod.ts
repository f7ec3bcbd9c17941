/**
 * Sharing of the origins of streams among entries, so that any of them can take
 * a stream up at the build that began it.
 *
 * @module
 */

export * from "./default_origin_keeper.ts";
export type { TakenUp } from "./origin_finder.ts";
export * from "./origin_writers.ts";
export * from "./ports.ts";
export * from "./stored_origins.ts";
export * from "./stream_origin_service.ts";
