/**
 * The operators' lists as rows of the table service.
 *
 * @module
 */

import { ok, okAsync, type ResultAsync } from "neverthrow";
import {
  type Availability,
  type CustomerList,
  EMPTY_LISTS,
  type Lists,
  type UseList,
} from "../model/mod.ts";
import type {
  CommitResult,
  PlatformError,
  Row,
  Table,
} from "../platform/mod.ts";

const HEAD_KEY = "lists/head";
const CUSTOMERS_KEY = "lists/customers";
const USE_KEY = "lists/use";
const AVAILABILITY_KEY = "lists/availability";
const ALL_KEYS = [HEAD_KEY, CUSTOMERS_KEY, USE_KEY, AVAILABILITY_KEY];

/** Parts of the lists that one change replaces. */
export interface ListsChange {
  readonly customers?: CustomerList;
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** Reads the newest lists. */
export function readLists(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<Lists, PlatformError> {
  return table.read(ALL_KEYS, signal).map(toLists);
}

/** Reads the lists when they are newer than `version`; null otherwise. */
export function readNewerLists(
  table: Table,
  version: number,
  signal?: AbortSignal,
): ResultAsync<Lists | null, PlatformError> {
  return table.read([HEAD_KEY], signal).andThen((rows) =>
    headVersion(rows) > version
      ? readLists(table, signal).map((lists): Lists | null => lists)
      : okAsync(null)
  );
}

/** Replaces parts of the lists if `version` is still the newest. */
export function changeLists(
  table: Table,
  version: number,
  change: ListsChange,
): ResultAsync<CommitResult, PlatformError> {
  const puts = [
    { key: HEAD_KEY, value: { version: version + 1 } },
    ...(change.customers
      ? [{ key: CUSTOMERS_KEY, value: change.customers }]
      : []),
    ...(change.use ? [{ key: USE_KEY, value: change.use }] : []),
    ...(change.availability
      ? [{ key: AVAILABILITY_KEY, value: change.availability }]
      : []),
  ];
  return table.commit({ checks: [{ key: HEAD_KEY, version }], puts })
    .andThen((result) => ok(result));
}

function toLists(rows: readonly Row[]): Lists {
  const value = <T>(key: string, otherwise: T): T =>
    (rows.find((row) => row.key === key)?.value as T | null) ?? otherwise;
  return {
    version: headVersion(rows),
    customers: value(CUSTOMERS_KEY, EMPTY_LISTS.customers),
    use: value(USE_KEY, EMPTY_LISTS.use),
    availability: value(AVAILABILITY_KEY, EMPTY_LISTS.availability),
  };
}

function headVersion(rows: readonly Row[]): number {
  return rows.find((row) => row.key === HEAD_KEY)?.version ?? 0;
}
