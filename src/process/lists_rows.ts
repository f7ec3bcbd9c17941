/**
 * Rows of the table service that hold the operators' lists.
 *
 * The head row is written by every change, so that a check of its version
 * orders the changes. Each change has a row of its own with its delta. The
 * organisations are spread over several rows, so that a change of one organisation
 * rewrites a small part.
 *
 * @module
 */

import {
  type ListsChange,
  type ListsDelta,
  sortOrganisations,
} from "../lists/mod.ts";
import {
  EMPTY_LISTS,
  type Lists,
  type Organisation,
  type OrganisationId,
  sha256,
} from "../model/mod.ts";
import type { Row, RowPut } from "../store/mod.ts";

/** Row that every change writes; its row version is the lists' version. */
export const HEAD_KEY = "lists/head";
const USE_KEY = "lists/use";
const AVAILABILITY_KEY = "lists/availability";
const ORGANISATIONS_PREFIX = "lists/organisations/";
const CHANGE_PREFIX = "lists/change/";

/** Rows over which the organisations are spread. */
const SHARDS = 64;
/** Change rows that are kept for readers who are behind. */
export const KEPT_CHANGES = 500;
const VERSION_DIGITS = 12;

/** Value of a change row. */
export interface ChangeRecord {
  /** Tells an accepted change from another one under the same version. */
  readonly token: string;
  readonly delta: ListsDelta;
}

/** Keys of all rows that together hold one version of the lists. */
export const LISTS_KEYS: readonly string[] = [
  HEAD_KEY,
  USE_KEY,
  AVAILABILITY_KEY,
  ...Array.from({ length: SHARDS }, (_, shard) => shardKey(shard)),
];

/** Key of the row of the change that made a version. */
export function changeKey(version: number): string {
  return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** Version of the lists that a head row states. */
export function headVersion(row: Row | undefined): number {
  return row?.version ?? 0;
}

/** Lists that a read of all rows gave. */
export function listsOf(rows: readonly Row[]): Lists {
  const value = <T>(key: string, otherwise: T): T =>
    (rows.find((row) => row.key === key)?.value as T | null) ?? otherwise;
  const organisations = rows
    .filter(({ key, value }) => key.startsWith(ORGANISATIONS_PREFIX) && value)
    .flatMap((row) => row.value as readonly Organisation[]);
  return {
    version: headVersion(rows.find(({ key }) => key === HEAD_KEY)),
    organisations: { organisations: sortOrganisations(organisations) },
    use: value(USE_KEY, EMPTY_LISTS.use),
    availability: value(AVAILABILITY_KEY, EMPTY_LISTS.availability),
  };
}

/** Writes that replace the parts of a change. */
export function partPuts(
  after: Lists,
  change: ListsChange,
  delta: ListsDelta,
): RowPut[] {
  const shards = shardPuts(
    after,
    [...delta.set.map(({ id }) => id), ...delta.removed],
  );
  return [
    ...shards,
    ...(change.use ? [{ key: USE_KEY, value: change.use }] : []),
    ...(change.availability
      ? [{ key: AVAILABILITY_KEY, value: change.availability }]
      : []),
  ];
}

/** Rows of the shards in which some organisations differ. */
function shardPuts(after: Lists, touched: readonly OrganisationId[]): RowPut[] {
  const shards = new Map<number, Organisation[]>(
    touched.map((id) => [shardOf(id), []]),
  );
  if (shards.size === 0) return [];
  after.organisations.organisations.forEach((organisation) =>
    shards.get(shardOf(organisation.id))?.push(organisation)
  );
  return [...shards].map(([shard, value]) => ({ key: shardKey(shard), value }));
}

function shardKey(shard: number): string {
  return ORGANISATIONS_PREFIX + String(shard).padStart(2, "0");
}

function shardOf(id: OrganisationId): number {
  return parseInt(sha256(id).slice(0, 8), 16) % SHARDS;
}
