/**
 * Ports of the service that shares the origins of streams.
 *
 * @module
 */

import type { Builds, ListedPeer } from "../serving/mod.ts";
import type {
  OriginAnswer,
  OriginBatch,
  OriginQuery,
  OriginReceipt,
} from "../wire/mod.ts";

/** What the service knows of the fleet. */
export interface OriginFleet {
  /** All registered entries. */
  peers(): readonly ListedPeer[];
  /** Registrations by entry; the value changes when an entry restarts. */
  registrations(): ReadonlyMap<string, number>;
  /** False for entries that are silent or leaving. */
  isUsable(peer: ListedPeer): boolean;
  /** Builds that a pool may have had within the life of a stream. */
  buildsOf(pool: string): Builds;
  /** True when the builds of all pools are known as of a short time ago. */
  knowsBuilds(): boolean;
}

/** Calls other entries; the calls reject when they fail. */
export interface OriginClients {
  keepOrigins(
    url: string,
    batch: OriginBatch,
    signal: AbortSignal,
  ): Promise<OriginReceipt>;
  findOrigin(
    url: string,
    query: OriginQuery,
    signal: AbortSignal,
  ): Promise<OriginAnswer>;
}
