/**
 * Registrations of targets and entries in the table service.
 *
 * A write of a registration also records its key in a head row, so that readers
 * can tell from the heads alone which registrations have changed.
 *
 * @module
 */

import { okAsync, type ResultAsync } from "neverthrow";
import {
  type ChangeHead,
  type HeadRow,
  recordChange,
  type Stamp,
} from "../membership/mod.ts";
import {
  type DomainName,
  type HostId,
  sha256,
  type Target,
  type TargetId,
} from "../model/mod.ts";
import type { CommitResult, PlatformError, Row, Table } from "../store/mod.ts";

const TARGET_PREFIX = "target/";
const ENTRY_PREFIX = "entry/";
const HEAD_PREFIX = "members/head/";
/** The first hexadecimal digit of a key's hash selects its head. */
const HEAD_DIGITS = [..."0123456789abcdef"];

/** Keys of all head rows. */
export const HEAD_KEYS = HEAD_DIGITS.map((digit) => HEAD_PREFIX + digit);

/** Registration of an entry. */
export interface EntryInfo {
  /** Name of the process. */
  readonly name: string;
  readonly host: HostId;
  readonly domain: DomainName;
  /** Base URL of the control address. */
  readonly url: string;
}

/** Row of a registered target. */
export interface TargetRow extends Target {
  /** Absent in rows that no process maintains. */
  readonly stamp?: Stamp;
}

/** Row of a registered entry. */
export interface EntryRow extends EntryInfo {
  readonly stamp?: Stamp;
}

/** Returns the key of a target's registration. */
export function targetKey(id: TargetId): string {
  return TARGET_PREFIX + id;
}

/** Returns the key of an entry's registration. */
export function entryKey(name: string): string {
  return ENTRY_PREFIX + name;
}

/** Returns true for keys of target registrations. */
export function isTargetKey(key: string): boolean {
  return key.startsWith(TARGET_PREFIX);
}

/** The rows of a registration and of its head, as they were read. */
export interface MemberRows {
  readonly row: Row;
  readonly head: Row;
}

/** Reads a registration together with its head. */
export function readMember(
  table: Table,
  key: string,
  signal?: AbortSignal,
): ResultAsync<MemberRows, PlatformError> {
  return table.read([key, headKeyOf(key)], signal)
    .map(([row, head]) => ({ row: row as Row, head: head as Row }));
}

/**
 * Replaces a registration if neither its row nor its head has changed since
 * they were read; a `value` of null removes the registration.
 */
export function writeMember(
  table: Table,
  member: MemberRows,
  opts: { value: object | null; signal?: AbortSignal },
): ResultAsync<CommitResult, PlatformError> {
  const { row, head } = member;
  const updatedHead = recordChange(head.value as ChangeHead | null, row.key);
  const checks = [row, head].map(({ key, version }) => ({ key, version }));
  const puts = [{ key: head.key, value: updatedHead }];
  return table.commit(
    opts.value === null
      ? { checks, puts, deletes: [row.key] }
      : { checks, puts: [...puts, { key: row.key, value: opts.value }] },
    opts.signal,
  );
}

/** Registers a target once, without maintaining the registration. */
export function registerTarget(
  table: Table,
  target: Target,
  signal?: AbortSignal,
): ResultAsync<void, PlatformError> {
  return readMember(table, targetKey(target.id), signal)
    .andThen((member) => writeMember(table, member, { value: target, signal }))
    .map(() => undefined);
}

/** Registers an entry once, without maintaining the registration. */
export function registerEntry(
  table: Table,
  info: Omit<EntryInfo, "host">,
): ResultAsync<void, PlatformError> {
  return readMember(table, entryKey(info.name))
    .andThen((member) => writeMember(table, member, { value: info }))
    .map(() => undefined);
}

/** Reads the heads of all registrations. */
export function readHeads(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly HeadRow[], PlatformError> {
  return table.read(HEAD_KEYS, signal).map((rows) =>
    rows.map(({ key, version, value }) => ({
      key,
      version,
      head: value as ChangeHead | null,
    }))
  );
}

/** Reads the registrations of all targets and entries. */
export function readAllMembers(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly Row[], PlatformError> {
  return scanAll(table, { prefix: TARGET_PREFIX, signal }).andThen((targets) =>
    scanAll(table, { prefix: ENTRY_PREFIX, signal })
      .map((entries) => [...targets, ...entries])
  );
}

/** Reads all registered targets. */
export function readTargets(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly TargetRow[], PlatformError> {
  return scanAll(table, { prefix: TARGET_PREFIX, signal })
    .map((rows) => rows.map((row) => row.value as TargetRow));
}

function scanAll(
  table: Table,
  opts: { prefix: string; after?: string; signal?: AbortSignal },
): ResultAsync<readonly Row[], PlatformError> {
  const { prefix, after, signal } = opts;
  return table.scan(prefix, { after, signal }).andThen(({ rows, next }) =>
    next === undefined
      ? okAsync(rows)
      : scanAll(table, { prefix, after: next, signal })
        .map((rest) => [...rows, ...rest])
  );
}

function headKeyOf(key: string): string {
  return HEAD_PREFIX + sha256(key).slice(0, 1);
}
