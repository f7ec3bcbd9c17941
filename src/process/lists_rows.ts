/**
 * Rows of the table service that store the operators' lists.
 *
 * Every change writes the head row, so that a check of its version orders the
 * changes. Each change also has its own row with its delta. The organisations
 * are sharded over several rows, so that a change of one organisation rewrites
 * only a small part of them.
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

/** Row that every change writes; its row version is the lists version. */
export const HEAD_KEY = "lists/head";
const USE_KEY = "lists/use";
const AVAILABILITY_KEY = "lists/availability";
const ORGANISATIONS_PREFIX = "lists/organisations/";
const CHANGE_PREFIX = "lists/change/";

/** Number of rows over which the organisations are sharded. */
const SHARD_COUNT = 64;
/** Number of change rows that are retained for readers that are behind. */
export const RETAINED_CHANGES = 500;
const VERSION_DIGITS = 12;

/** Value of a change row. */
export interface ChangeRecord {
  /** Distinguishes this change from others that compete for the version. */
  readonly token: string;
  readonly delta: ListsDelta;
}

/** Keys of all rows that together store one version of the lists. */
export const LISTS_KEYS: readonly string[] = [
  HEAD_KEY,
  USE_KEY,
  AVAILABILITY_KEY,
  ...Array.from({ length: SHARD_COUNT }, (_, shard) => shardKey(shard)),
];

/** Returns the key of the row of the change that created a version. */
export function changeKey(version: number): string {
  return CHANGE_PREFIX + String(version).padStart(VERSION_DIGITS, "0");
}

/** Returns the lists version of a head row; zero without a row. */
export function headVersion(row: Row | undefined): number {
  return row?.version ?? 0;
}

/** Builds the lists from the rows of {@linkcode LISTS_KEYS}. */
export function listsOf(rows: readonly Row[]): Lists {
  const value = <T>(key: string, fallback: T): T =>
    (rows.find((row) => row.key === key)?.value as T | null) ?? fallback;
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

/** Returns the writes that replace the parts of the lists in a change. */
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

/** Returns the writes of all shards that hold a changed organisation. */
function shardPuts(
  after: Lists,
  changedIds: readonly OrganisationId[],
): RowPut[] {
  const shards = new Map<number, Organisation[]>(
    changedIds.map((id) => [shardOf(id), []]),
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
  return parseInt(sha256(id).slice(0, 8), 16) % SHARD_COUNT;
}
