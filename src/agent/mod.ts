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
export { Agent } from "./agent.ts";
export { ClaimService } from "./claim_service.ts";
export { EngineClient, promptOf } from "./engine_client.ts";
export { GateService } from "./gate_service.ts";
export { ServiceClient } from "./service_client.ts";
