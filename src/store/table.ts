/**
 * The platform's transactional table service.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { PlatformError } from "./error.ts";

/** One stored row. */
export interface Row {
  readonly key: string;
  /** JSON value. */
  readonly value: unknown;
  /** Grows with each write of the row; zero when the row is absent. */
  readonly version: number;
}

/** Required version of a row; zero requires that the row is absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** Row to write. */
export interface RowPut {
  readonly key: string;
  readonly value: unknown;
}

/** Writes that are applied atomically if all checks hold. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
  readonly deletes?: readonly string[];
}

/** Result of a transaction. */
export type CommitResult =
  | { readonly committed: true; readonly rows: readonly Row[] }
  | {
    readonly committed: false;
    /** Current state of the rows whose checks failed. */
    readonly conflicts: readonly Row[];
  };

/** Page of a scan. */
export interface ScanPage {
  readonly rows: readonly Row[];
  /** Value of `after` for the next page; absent on the last page. */
  readonly next?: string;
}

/** Client of the table service; each call counts as one read or write. */
export interface Table {
  /** Reads rows; an absent row has version zero and a null value. */
  read(
    keys: readonly string[],
    signal?: AbortSignal,
  ): ResultAsync<readonly Row[], PlatformError>;
  /** Reads rows whose keys start with `prefix`, in key order. */
  scan(
    prefix: string,
    opts?: { after?: string; limit?: number; signal?: AbortSignal },
  ): ResultAsync<ScanPage, PlatformError>;
  /** Commits a transaction; failed checks are a result, not an error. */
  commit(
    tx: Transaction,
    signal?: AbortSignal,
  ): ResultAsync<CommitResult, PlatformError>;
}
