/**
 * Protocol between the system's processes.
 *
 * @module
 */

export * from "./api.ts";
export * from "./client.ts";
export * from "./connector.ts";
export * from "./entries.ts";
export * from "./explain.ts";
export * from "./notices.ts";
export * from "./origins.ts";
export * from "./permits.ts";
export * from "./rollouts.ts";
export * from "./router.ts";
export * from "./schema.ts";
