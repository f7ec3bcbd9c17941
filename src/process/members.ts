/**
 * The registered targets and entries, read incrementally.
 *
 * @module
 */

import { okAsync, type ResultAsync } from "neverthrow";
import { planRefresh, type SeenHeads, seenOf } from "../membership/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import {
  type EntryRow,
  isTargetKey,
  readAllMembers,
  readHeads,
  type TargetRow,
} from "./registry.ts";

/** Follows the registrations. */
export class Members {
  readonly #table: Table;
  #rows: ReadonlyMap<string, Row> = new Map();
  #targets: readonly TargetRow[] = [];
  #entries: readonly EntryRow[] = [];
  #seen: SeenHeads | undefined;

  constructor(table: Table) {
    this.#table = table;
  }

  /** Registered targets, those that leave left out. */
  get targets(): readonly TargetRow[] {
    return this.#targets;
  }

  /** Registered entries, those that leave left out. */
  get entries(): readonly EntryRow[] {
    return this.#entries;
  }

  /** Every registration as it was read. */
  get rows(): readonly Row[] {
    return [...this.#rows.values()];
  }

  /** Reads what changed since the last time; tells whether anything did. */
  refresh(signal?: AbortSignal): ResultAsync<boolean, PlatformError> {
    return readHeads(this.#table, signal).andThen((heads) => {
      const plan = planRefresh(this.#seen, heads);
      if (plan.kind === "none") return okAsync(false);
      const read = plan.kind === "all"
        ? readAllMembers(this.#table, signal)
        : this.#table.read(plan.keys, signal);
      return read.map((rows) => {
        const base = plan.kind === "all" ? [] : [...this.#rows];
        const next = new Map(base);
        rows.forEach((row) => next.set(row.key, row));
        this.#replace([...next.values()].filter(({ version }) => version > 0));
        this.#seen = seenOf(heads);
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
    this.#targets = sameOr(this.#targets, targets);
    this.#entries = sameOr(this.#entries, entries);
  }
}

/** The older list when both hold the same items, so that readers see no change. */
function sameOr<T>(older: readonly T[], newer: readonly T[]): readonly T[] {
  const isSame = older.length === newer.length &&
    older.every((item, i) => item === newer[i]);
  return isSame ? older : newer;
}
