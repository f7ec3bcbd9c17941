/**
 * The agent process beside a target.
 *
 * @module
 */

export { startAgent } from "./start.ts";
export * from "./target_client.ts";
