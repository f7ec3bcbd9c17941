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
  /** Grows with each write of the row; zero stands for an absent row. */
  readonly version: number;
}

/** Condition on the version of a row. Version zero demands that it is absent. */
export interface RowCheck {
  readonly key: string;
  readonly version: number;
}

/** One row to write. */
export interface RowPut {
  readonly key: string;
  readonly value: unknown;
}

/** Writes that take effect together, if all checks hold, or not at all. */
export interface Transaction {
  readonly checks: readonly RowCheck[];
  readonly puts: readonly RowPut[];
  readonly deletes?: readonly string[];
}

/** Answer to a transaction. */
export type CommitResult =
  | { readonly committed: true; readonly rows: readonly Row[] }
  | {
    readonly committed: false;
    /** Present state of the rows whose checks failed. */
    readonly conflicts: readonly Row[];
  };

/** Page of a scan. */
export interface ScanPage {
  readonly rows: readonly Row[];
  /** Key to continue after; absent on the last page. */
  readonly next?: string;
}

/** Client of the table service. Counts as one read or write for each call. */
export interface Table {
  /** Reads rows; an absent row has version zero and a null value. */
  read(
    keys: readonly string[],
    signal?: AbortSignal,
  ): ResultAsync<readonly Row[], PlatformError>;
  /** Reads rows whose keys start with `prefix`, in the order of their keys. */
  scan(
    prefix: string,
    opts?: { after?: string; limit?: number; signal?: AbortSignal },
  ): ResultAsync<ScanPage, PlatformError>;
  /** Commits a transaction. */
  commit(
    tx: Transaction,
    signal?: AbortSignal,
  ): ResultAsync<CommitResult, PlatformError>;
}
