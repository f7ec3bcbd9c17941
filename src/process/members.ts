/**
 * The registered targets and entries, read incrementally.
 *
 * @module
 */

import { okAsync, type ResultAsync } from "neverthrow";
import {
  type HeadVersions,
  headVersionsOf,
  planRefresh,
} from "../membership/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import {
  type EntryRow,
  isTargetKey,
  readAllMembers,
  readHeads,
  type TargetRow,
} from "./registry.ts";

/** Incrementally updated copy of the registrations. */
export class Members {
  readonly #table: Table;
  #rows: ReadonlyMap<string, Row> = new Map();
  #targets: readonly TargetRow[] = [];
  #entries: readonly EntryRow[] = [];
  #headVersions: HeadVersions | undefined;

  constructor(table: Table) {
    this.#table = table;
  }

  /** Registered targets, except those that are leaving. */
  get targets(): readonly TargetRow[] {
    return this.#targets;
  }

  /** Registered entries, except those that are leaving. */
  get entries(): readonly EntryRow[] {
    return this.#entries;
  }

  /** Rows of all registrations, including those that are leaving. */
  get rows(): readonly Row[] {
    return [...this.#rows.values()];
  }

  /** Reads the changes since the last refresh; resolves to false if none. */
  refresh(signal?: AbortSignal): ResultAsync<boolean, PlatformError> {
    return readHeads(this.#table, signal).andThen((heads) => {
      const plan = planRefresh(this.#headVersions, heads);
      if (plan.kind === "none") return okAsync(false);
      const read = plan.kind === "all"
        ? readAllMembers(this.#table, signal)
        : this.#table.read(plan.keys, signal);
      return read.map((rows) => {
        const previous = plan.kind === "all" ? [] : [...this.#rows];
        const next = new Map(previous);
        rows.forEach((row) => next.set(row.key, row));
        this.#replace([...next.values()].filter(({ version }) => version > 0));
        this.#headVersions = headVersionsOf(heads);
        return true;
      });
    });
  }

  #replace(rows: readonly Row[]): void {
    this.#rows = new Map(rows.map((row) => [row.key, row]));
    const targets = rows.filter(({ key }) => isTargetKey(key))
      .map(({ value }) => value as TargetRow)
      .filter(({ stamp }) => !stamp?.leaving);
    const entries = rows.filter(({ key }) => !isTargetKey(key))
      .map(({ value }) => value as EntryRow)
      .filter(({ stamp }) => !stamp?.leaving);
    this.#targets = olderIfEqual(this.#targets, targets);
    this.#entries = olderIfEqual(this.#entries, entries);
  }
}

/**
 * Returns the older list when both hold the same items, so that readers that
 * compare by identity see no change.
 */
function olderIfEqual<T>(
  older: readonly T[],
  newer: readonly T[],
): readonly T[] {
  const isSame = older.length === newer.length &&
    older.every((item, i) => item === newer[i]);
  return isSame ? older : newer;
}
