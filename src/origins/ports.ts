/**
 * Ports of the service that shares the origins of streams.
 *
 * @module
 */

import type { Result } from "neverthrow";
import type {
  Builds,
  DefaultOrigins,
  ListedPeer,
  ObservedOrigins,
  PoolCandidates,
  RouteAddress,
  StreamOrigin,
} from "../serving/mod.ts";
import type {
  OriginAnswer,
  OriginBatch,
  OriginQuery,
  OriginReceipt,
  RecordBatch,
  RecordReceipt,
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
  /**
   * Routes and builds of the resumable streams that may begin now; undefined
   * until they were read.
   */
  observed(): ObservedOrigins | undefined;
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
  recordOrigins(
    url: string,
    batch: RecordBatch,
    signal: AbortSignal,
  ): Promise<RecordReceipt>;
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

/** Row of the store with the origins of all streams that have no record. */
export interface DefaultsRow {
  /** Version of the row as the store numbers it. */
  readonly version: number;
  /** Empty when the row can't be read. */
  readonly defaults: DefaultOrigins;
}

/** The default origins as the store holds them. */
export interface DefaultsRead {
  /** Number of times that the store has been restored. */
  readonly era: number;
  /** Undefined when the store has no such row. */
  readonly row?: DefaultsRow;
}

/** All that the store holds of the origins of streams. */
export interface OriginsRead {
  readonly defaults: DefaultsRead;
  /** The rows of all entries; later rows of one start follow earlier ones. */
  readonly rows: readonly OriginRow[];
}

/** Origins of streams in the store. */
export interface OriginStore {
  /** Writes a row and removes others in one transaction. */
  write(
    row: OriginRow,
    removed: readonly string[],
    signal: AbortSignal,
  ): Promise<Result<void, { readonly kind: string }>>;
  /** Reads the default origins and the rows of all entries. */
  read(
    signal: AbortSignal,
  ): Promise<Result<OriginsRead, { readonly kind: string }>>;
  readDefaults(
    signal: AbortSignal,
  ): Promise<Result<DefaultsRead, { readonly kind: string }>>;
  /**
   * Writes the default origins unless their row has another version than
   * `expected`, 0 for none; resolves with false if it has.
   */
  writeDefaults(
    defaults: DefaultOrigins,
    expected: number,
    signal: AbortSignal,
  ): Promise<Result<boolean, { readonly kind: string }>>;
}
