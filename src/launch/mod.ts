/**
 * Launcher for deployments on loopback; a development tool.
 *
 * @module
 */

export * from "./deployment.ts";
export * from "./fleet.ts";
export * from "./topology.ts";
