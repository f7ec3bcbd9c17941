/**
 * The agent process beside a target.
 *
 * @module
 */

export { startAgent } from "./start.ts";
export * from "./agent.ts";
export * from "./claim_service.ts";
export * from "./gate_service.ts";
export * from "./target_client.ts";
export { EngineClient } from "./engine_client.ts";
export { ServiceClient } from "./service_client.ts";
export { readSse } from "./sse.ts";
