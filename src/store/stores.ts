/**
 * The platform's object store, host list and weight store.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { DomainName, HostId } from "../model/mod.ts";
import type { PlatformError } from "./error.ts";

/** Client of the object store. Objects are JSON values. */
export interface ObjectStore {
  /** Reads an object; resolves to null when there is none. */
  get(
    key: string,
    signal?: AbortSignal,
  ): ResultAsync<unknown | null, PlatformError>;
  /** Writes an object unless one exists; true when it was written. */
  putIfAbsent(
    key: string,
    value: unknown,
    signal?: AbortSignal,
  ): ResultAsync<boolean, PlatformError>;
  /** Deletes an object; succeeds when there is none. */
  delete(key: string, signal?: AbortSignal): ResultAsync<void, PlatformError>;
}

/** State of a host in the host list. */
export const HostState = { Live: "live", Leaving: "leaving" } as const;
export type HostState = typeof HostState[keyof typeof HostState];

/** Host in the host list. */
export interface ListedHost {
  readonly host: HostId;
  readonly domain: DomainName;
  readonly state: HostState;
}

/** Client of the host list, which lags behind the actual state of the hosts. */
export interface HostList {
  list(signal?: AbortSignal): ResultAsync<readonly ListedHost[], PlatformError>;
}

/** Client of the rate-limited weight store. */
export interface WeightStore {
  /**
   * Reserves the transfer of a model's weights, which may start after `waitMs`.
   */
  reserve(
    model: string,
    signal?: AbortSignal,
  ): ResultAsync<{ bytes: number; waitMs: number }, PlatformError>;
}
