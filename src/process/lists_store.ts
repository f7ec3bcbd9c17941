/**
 * Reads the operators' lists and their changes from the table service, and
 * commits new changes.
 *
 * @module
 */

import { okAsync, type ResultAsync } from "neverthrow";
import { randomUUID } from "node:crypto";
import { sleep } from "../kernel/mod.ts";
import {
  applyChange,
  diffLists,
  type ListsChange,
  type ListsDelta,
  type ListsUpdate,
  mergeDeltas,
} from "../lists/mod.ts";
import type { Lists } from "../model/mod.ts";
import type {
  CommitResult,
  PlatformError,
  Row,
  Table,
  Transaction,
} from "../store/mod.ts";
import {
  changeKey,
  type ChangeRecord,
  HEAD_KEY,
  headVersion,
  LISTS_KEYS,
  listsOf,
  partPuts,
  RETAINED_CHANGES,
} from "./lists_rows.ts";

/** Number of change rows that are read together with the head row. */
const PREFETCHED_CHANGES = 8;
/** Attempts to commit a change before its outcome counts as unknown. */
const MAX_COMMIT_ATTEMPTS = 5;
/** Pause before a retry for each earlier attempt, in milliseconds. */
const RETRY_PAUSE_MS = 200;

/** Newest version of the lists and the update to it. */
export interface NewerLists {
  /** Newest version at the time of the read. */
  readonly version: number;
  /** Update for the reader; null when it has the newest version. */
  readonly update: ListsUpdate | null;
}

/** Outcome of a change. */
export type ChangeOutcome =
  | { readonly kind: "accepted"; readonly lists: Lists }
  /** Another change was accepted first; this one has no effect. */
  | { readonly kind: "conflict"; readonly version: number }
  /** Nothing was written. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The change may have been accepted, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Reads the newest lists with one read. */
export function readLists(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<Lists, PlatformError> {
  return table.read(LISTS_KEYS, signal).map(listsOf);
}

/**
 * Reads the changes after `version`. It makes one read, or two when the reader
 * has no lists yet or is more than `PREFETCHED_CHANGES` versions behind.
 */
export function readNewerLists(
  table: Table,
  version: number,
  signal?: AbortSignal,
): ResultAsync<NewerLists, PlatformError> {
  const changeKeys = Array.from(
    { length: version === 0 ? 0 : PREFETCHED_CHANGES },
    (_, i) => changeKey(version + 1 + i),
  );
  return table.read([HEAD_KEY, ...changeKeys], signal).andThen((rows) => {
    const newest = headVersion(rows[0]);
    if (newest <= version) return okAsync({ version: newest, update: null });
    const delta = joinDeltas(rows.slice(1), version, newest);
    if (delta) {
      const update: ListsUpdate = { kind: "delta", delta };
      return okAsync({ version: newest, update });
    }
    return readLists(table, signal).map((lists): NewerLists => ({
      version: lists.version,
      update: { kind: "lists", lists },
    }));
  });
}

/**
 * Replaces parts of the lists with one write if `current` is still the newest
 * version.
 */
export function changeLists(
  table: Table,
  current: Lists,
  change: ListsChange,
): ResultAsync<CommitResult, PlatformError> {
  return table.commit(changeTransaction(current, change, randomUUID()));
}

/**
 * Commits a change and finds out whether it was accepted when the response is
 * lost: the token in the row of the new version shows which change created it.
 */
export async function acceptLists(
  table: Table,
  current: Lists,
  change: ListsChange,
): Promise<ChangeOutcome> {
  const token = randomUUID();
  const tx = changeTransaction(current, change, token);
  const lists = applyChange(current, change);
  let mayHaveApplied = false;
  let detail = "";
  for (let attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await sleep(RETRY_PAUSE_MS * attempt);
    const result = await table.commit(tx);
    if (result.isErr()) {
      mayHaveApplied ||= result.error.mayHaveApplied;
      detail = result.error.message;
      if (!mayHaveApplied) return { kind: "refused", detail };
      continue;
    }
    if (result.value.committed) return { kind: "accepted", lists };
    if (!mayHaveApplied) return racedOutcome(result.value);
    const storedToken = await readChangeToken(table, lists.version);
    if (storedToken === token) return { kind: "accepted", lists };
    if (storedToken !== undefined) return racedOutcome(result.value);
  }
  return { kind: "unknown", detail };
}

function racedOutcome(result: CommitResult): ChangeOutcome {
  const [head] = result.committed ? result.rows : result.conflicts;
  return { kind: "conflict", version: headVersion(head) };
}

/** Reads the token of the change that created a version, if possible. */
async function readChangeToken(
  table: Table,
  version: number,
): Promise<string | undefined> {
  const read = await table.read([changeKey(version)]);
  const [row] = read.unwrapOr([]);
  return (row?.value as ChangeRecord | null | undefined)?.token;
}

function changeTransaction(
  current: Lists,
  change: ListsChange,
  token: string,
): Transaction {
  const after = applyChange(current, change);
  const delta = diffLists(current, after);
  const record: ChangeRecord = { token, delta };
  const expiredVersion = after.version - RETAINED_CHANGES;
  return {
    checks: [{ key: HEAD_KEY, version: current.version }],
    puts: [
      {
        key: HEAD_KEY,
        value: { version: after.version, acceptedAt: Date.now() },
      },
      { key: changeKey(after.version), value: record },
      ...partPuts(after, change, delta),
    ],
    deletes: expiredVersion > 0 ? [changeKey(expiredVersion)] : [],
  };
}

/**
 * Merges the deltas of consecutive change rows; returns undefined if one of
 * them is missing.
 */
function joinDeltas(
  rows: readonly Row[],
  from: number,
  to: number,
): ListsDelta | undefined {
  const deltas = rows
    .map(({ value }) => (value as ChangeRecord | null)?.delta)
    .filter((delta) => delta !== undefined)
    .filter((delta) => delta.from >= from && delta.to <= to);
  if (deltas.length !== to - from) return undefined;
  return deltas.reduce(mergeDeltas);
}
