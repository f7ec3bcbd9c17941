/**
 * Services shared by entries and agents.
 *
 * @module
 */

export * from "./base.ts";
export * from "./registration_cleaner.ts";
export * from "./control.ts";
export * from "./hosts_sync.ts";
export * from "./group_commit.ts";
export * from "./keys.ts";
export * from "./claim_store.ts";
export * from "./lists_rows.ts";
export * from "./lists_store.ts";
export * from "./lists_sync.ts";
export * from "./members.ts";
export * from "./pacing.ts";
export * from "./peers.ts";
export * from "./registrar.ts";
export * from "./registry.ts";
export * from "./server.ts";
export * from "./shared_services.ts";
export * from "./traffic.ts";
