/**
 * Entry that calls its targets directly, for platforms without an agent process
 * beside each target. Adapters implement the ports.
 *
 * @module
 */

export {
  type QuarantineChanges,
  Reachability,
  type WatchedTarget,
} from "../crashes/mod.ts";
export type {
  DefaultsRead,
  DefaultsRow,
  OriginRow,
  OriginsRead,
  OriginStore,
} from "../origins/mod.ts";
export type { RolloutWrite, RolloutWritten } from "../rollout/mod.ts";
export * from "./fleet_view.ts";
export * from "./ports.ts";
export * from "./response_limits.ts";
export * from "./settings.ts";
export * from "./start.ts";
