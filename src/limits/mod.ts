/**
 * Concurrency limit, fair queue and admission gate in front of a target.
 *
 * @module
 */

export * from "./fair_queue.ts";
export * from "./gate.ts";
export * from "./gate_state.ts";
export * from "./limit.ts";
export * from "./wait.ts";
