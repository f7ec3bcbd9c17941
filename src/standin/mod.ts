/**
 * Stand-ins for the targets and the platform services, for tests, experiments
 * and development.
 *
 * @module
 */

export * from "./engine.ts";
export * from "./engine_app.ts";
export * from "./engine_config.ts";
export * from "./engine_text.ts";
export * from "./engine_orders.ts";
export * from "./faults.ts";
export * from "./service.ts";
export * from "./start.ts";
export * from "./stores.ts";
export * from "./table.ts";
