/**
 * Targets and the pools they form.
 *
 * @module
 */

import type { DomainName, HostId, PoolName, TargetId } from "./ids.ts";

/** How a target is spoken to. */
export const TargetKind = {
  /** Model engine with the completion form and streamed tokens. */
  Engine: "engine",
  /** Plain service: one JSON answer per call. */
  Service: "service",
} as const;
export type TargetKind = typeof TargetKind[keyof typeof TargetKind];

/** A target as it is registered by the agent beside it. */
export interface Target {
  readonly id: TargetId;
  readonly pool: PoolName;
  readonly kind: TargetKind;
  readonly host: HostId;
  readonly domain: DomainName;
  /** Base URL of the agent beside the target, which all work passes. */
  readonly agentUrl: string;
}

/** Load of a target as its agent sees it. It rides on every answer. */
export interface TargetLoad {
  /** Calls in hand at the target. */
  readonly running: number;
  /** Calls waiting at the gate. */
  readonly queued: number;
  /** Most calls the gate lets run at once. */
  readonly limit: number;
  /** True until the target has proven that it bears normal load. */
  readonly cold: boolean;
  /** True when the target or its host is leaving. */
  readonly leaving: boolean;
  /** Newest changes of the engine's prefix cache; on final events only. */
  readonly cache?: readonly CacheChange[];
  /** Calls of the answered organisation at the gate; on answers to calls only. */
  readonly organisationInHand?: number;
}

/** A prompt prefix that an engine began or ceased to hold. */
export interface CacheChange {
  /** Position in the agent's journal, from zero. */
  readonly seq: number;
  /** Key of the prefix; see `prefixKey` in `routing/prefix.ts`. */
  readonly key: string;
  readonly held: boolean;
}
