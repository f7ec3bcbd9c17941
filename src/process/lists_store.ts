/**
 * The operators' lists in the table service: reading what changed and having
 * a change accepted.
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
  KEPT_CHANGES,
  LISTS_KEYS,
  listsOf,
  partPuts,
} from "./lists_rows.ts";

/** Change rows that a look at the head fetches along with it. */
const LOOK_AHEAD = 8;
/** Tries to learn the fate of a change whose answer was lost. */
const SETTLE_TRIES = 5;
const SETTLE_PAUSE_MS = 200;

/** Answer to the question whether there are newer lists. */
export interface NewerLists {
  /** Newest version at the time of the question. */
  readonly version: number;
  /** Brings the asker up to date; null when it is. */
  readonly update: ListsUpdate | null;
}

/** What became of a change. */
export type Acceptance =
  | { readonly kind: "accepted"; readonly lists: Lists }
  /** Another change was accepted first; nothing of this one is in force. */
  | { readonly kind: "raced"; readonly version: number }
  /** Nothing was written. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The change may have been accepted, or may still be. */
  | { readonly kind: "unknown"; readonly detail: string };

/** Reads the newest lists. One read. */
export function readLists(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<Lists, PlatformError> {
  return table.read(LISTS_KEYS, signal).map(listsOf);
}

/** Reads what came after `version`. One read, two for those far behind. */
export function readNewerLists(
  table: Table,
  version: number,
  signal?: AbortSignal,
): ResultAsync<NewerLists, PlatformError> {
  const ahead = Array.from(
    { length: version === 0 ? 0 : LOOK_AHEAD },
    (_, i) => changeKey(version + 1 + i),
  );
  return table.read([HEAD_KEY, ...ahead], signal).andThen((rows) => {
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

/** Replaces parts of the lists if `standing` is still the newest. One write. */
export function changeLists(
  table: Table,
  standing: Lists,
  change: ListsChange,
): ResultAsync<CommitResult, PlatformError> {
  return table.commit(changeTransaction(standing, change, randomUUID()));
}

/**
 * Has a change accepted and finds out its fate when the answer is lost: the
 * change's own row tells whether it was this change that made the version.
 */
export async function acceptLists(
  table: Table,
  standing: Lists,
  change: ListsChange,
): Promise<Acceptance> {
  const token = randomUUID();
  const tx = changeTransaction(standing, change, token);
  const lists = applyChange(standing, change);
  let mayHaveApplied = false;
  let detail = "";
  for (let attempt = 0; attempt < SETTLE_TRIES; attempt += 1) {
    if (attempt > 0) await sleep(SETTLE_PAUSE_MS * attempt);
    const done = await table.commit(tx);
    if (done.isErr()) {
      mayHaveApplied ||= done.error.mayHaveApplied;
      detail = done.error.message;
      if (!mayHaveApplied) return { kind: "refused", detail };
      continue;
    }
    if (done.value.committed) return { kind: "accepted", lists };
    if (!mayHaveApplied) return racedAgainst(done.value);
    const maker = await makerOf(table, lists.version);
    if (maker === token) return { kind: "accepted", lists };
    if (maker !== undefined) return racedAgainst(done.value);
  }
  return { kind: "unknown", detail };
}

function racedAgainst(result: CommitResult): Acceptance {
  const [head] = result.committed ? result.rows : result.conflicts;
  return { kind: "raced", version: headVersion(head) };
}

/** Token of the change that made a version, if its row can be read. */
async function makerOf(
  table: Table,
  version: number,
): Promise<string | undefined> {
  const read = await table.read([changeKey(version)]);
  const [row] = read.unwrapOr([]);
  return (row?.value as ChangeRecord | null | undefined)?.token;
}

function changeTransaction(
  standing: Lists,
  change: ListsChange,
  token: string,
): Transaction {
  const after = applyChange(standing, change);
  const delta = diffLists(standing, after);
  const record: ChangeRecord = { token, delta };
  const expired = after.version - KEPT_CHANGES;
  return {
    checks: [{ key: HEAD_KEY, version: standing.version }],
    puts: [
      {
        key: HEAD_KEY,
        value: { version: after.version, acceptedAt: Date.now() },
      },
      { key: changeKey(after.version), value: record },
      ...partPuts(after, change, delta),
    ],
    deletes: expired > 0 ? [changeKey(expired)] : [],
  };
}

/** One delta from the rows of consecutive changes; undefined with a gap. */
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
