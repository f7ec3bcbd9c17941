/**
 * Targets and their load.
 *
 * @module
 */

import type { DomainName, HostId, PoolName, TargetId } from "./ids.ts";

/** Interface of a target. */
export const TargetKind = {
  /** Model engine with a completion interface that streams tokens. */
  Engine: "engine",
  /** Plain service with one JSON response per call. */
  Service: "service",
} as const;
export type TargetKind = typeof TargetKind[keyof typeof TargetKind];

/** A target as registered by its agent. */
export interface Target {
  readonly id: TargetId;
  readonly pool: PoolName;
  readonly kind: TargetKind;
  readonly host: HostId;
  readonly domain: DomainName;
  /** Base URL of the target's agent, through which all work passes. */
  readonly agentUrl: string;
}

/** Load of a target as observed by its agent, sent with every response. */
export interface TargetLoad {
  /** Calls in flight at the target. */
  readonly running: number;
  /** Calls waiting at the gate. */
  readonly queued: number;
  /** Maximum number of calls that the gate lets run at once. */
  readonly limit: number;
  /**
   * True until the target has been shown to sustain normal load; false when it
   * is presumed cold only because it was idle.
   */
  readonly cold: boolean;
  /** True when the target or its host is leaving. */
  readonly leaving: boolean;
  /** Latest changes of the engine's prefix cache; only in final events. */
  readonly cache?: readonly CacheChange[];
  /**
   * Calls of the call's organisation that run or wait at the gate; only in
   * responses to calls.
   */
  readonly organisationInHand?: number;
}

/** A prompt prefix that was added to or removed from an engine's cache. */
export interface CacheChange {
  /** Position in the agent's journal of changes, from zero. */
  readonly seq: number;
  /** Key of the prefix; see `prefixKey` in `routing/prefix.ts`. */
  readonly key: string;
  /** True when the prefix was added, false when it was removed. */
  readonly held: boolean;
}
