/**
 * Ports of the service that shares the origins of streams.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  Builds,
  ListedPeer,
  PoolCandidates,
  RouteAddress,
  StreamOrigin,
} from "../serving/mod.ts";
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
  /** Pools that may have begun a stream of the route at an address. */
  candidates(stream: string | undefined, route: RouteAddress): PoolCandidates;
  /** Pools of which the identifier of a stream may not tell which began it. */
  ambiguousPools(): ReadonlySet<string>;
  /** Number of times that the store has been restored, as far as known. */
  storeEra(): number;
  /**
   * Reads from the store what has changed until the call; resolves with false
   * when it does not answer.
   */
  readChanges(): Promise<boolean>;
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

/** Origin of a stream in the store. */
export interface StoredOrigin extends StreamOrigin {
  readonly stream: string;
}

/** Row of the store with origins of streams. */
export interface OriginRow {
  readonly key: string;
  /** Unix time of the write in milliseconds, by the clock of its writer. */
  readonly writtenAtMs: number;
  readonly origins: readonly StoredOrigin[];
}

/** Origins of streams in the store. */
export interface OriginStore {
  /** Writes a row and removes others in one transaction. */
  write(
    row: OriginRow,
    removed: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<void, { readonly kind: string }>>;
  /** Reads the rows of all entries. */
  read(
    signal: AbortSignal,
  ): Promise<Result<readonly OriginRow[], { readonly kind: string }>>;
}
