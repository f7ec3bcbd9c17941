/**
 * Experiment: cost of changing one organisation by the size of the organisation
 * list, compared with a list that is stored in one row and read whole by every
 * reader.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  applyUpdate,
  EMPTY_LISTS_HISTORY,
  type ListsHistory,
} from "../lists/mod.ts";
import { EMPTY_LISTS, type Lists, type Organisation } from "../model/mod.ts";
import type { Table } from "../store/mod.ts";
import {
  acceptLists,
  type NewerLists,
  readNewerLists,
} from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { DurationHistogram } from "../telemetry/mod.ts";
import type { Experiment } from "./experiment.ts";

const SIZES = [5, 500, 4_500] as const;
const CHANGES = 50;
const ID_DIGITS = 5;
const KEY_DIGITS = 64;

/** The experiment `lists-scale`. */
export const listsScale: Experiment = {
  name: "lists-scale",
  summary:
    "bytes and time to change one organisation, by number of organisations",
  run: async ({ seed }) => {
    const points = [];
    for (const organisations of SIZES) {
      points.push(await measure(organisations));
    }
    return { experiment: "lists-scale", seed, changes: CHANGES, points };
  },
};

async function measure(count: number) {
  const table = new MemoryTable();
  const writeSizes: number[] = [];
  const measuredTable = withCommitSizes(table, writeSizes);
  const startedAt = monotonicMs();
  let lists = await acceptOrganisations(
    measuredTable,
    EMPTY_LISTS,
    organisationsOf(count),
  );
  const fullAcceptMs = monotonicMs() - startedAt;
  let history = applyUpdate(EMPTY_LISTS_HISTORY, { kind: "lists", lists });
  const accepts = new DurationHistogram();
  const applies = new DurationHistogram();
  const readSizes: number[] = [];
  writeSizes.length = 0;
  for (let i = 0; i < CHANGES; i += 1) {
    const { organisations } = lists.organisations;
    const organisation = organisations[i % count] as Organisation;
    const changed = organisations.with(i % count, {
      ...organisation,
      plan: `plan-${i}`,
    });
    lists = await timed(
      accepts,
      () => acceptOrganisations(measuredTable, lists, changed),
    );
    history = await timed(
      applies,
      async () =>
        applyNewer(history, await readNewer(table, history, readSizes)),
    );
  }
  return {
    organisations: count,
    full_accept_ms: round(fullAcceptMs),
    accept_p50_ms: round(accepts.quantile(0.5)),
    apply_p50_ms: round(applies.quantile(0.5)),
    write_bytes: mean(writeSizes),
    read_bytes: mean(readSizes),
    one_row_write_bytes: JSON.stringify(lists.organisations).length,
    one_row_read_bytes: JSON.stringify(lists).length,
  };
}

async function acceptOrganisations(
  table: Table,
  current: Lists,
  organisations: readonly Organisation[],
): Promise<Lists> {
  const change = { organisations: { organisations } };
  const outcome = await acceptLists(table, current, change);
  if (outcome.kind === "accepted") return outcome.lists;
  throw new Error(`change of the lists not accepted: ${outcome.kind}`);
}

async function readNewer(
  table: Table,
  { lists }: ListsHistory,
  sizes: number[],
): Promise<NewerLists> {
  const newerLists = (await readNewerLists(table, lists.version))
    ._unsafeUnwrap();
  sizes.push(JSON.stringify(newerLists).length);
  return newerLists;
}

function applyNewer(
  history: ListsHistory,
  { update }: NewerLists,
): ListsHistory {
  return update ? applyUpdate(history, update) : history;
}

/** Wraps a table to record the size of every commit, as its JSON length. */
function withCommitSizes(table: Table, sizes: number[]): Table {
  return {
    read: (keys) => table.read(keys),
    scan: (prefix, opts) => table.scan(prefix, opts),
    commit: (tx) => {
      sizes.push(JSON.stringify(tx).length);
      return table.commit(tx);
    },
  };
}

async function timed<T>(
  durations: DurationHistogram,
  step: () => Promise<T>,
): Promise<T> {
  const startedAt = monotonicMs();
  const value = await step();
  durations.record(monotonicMs() - startedAt);
  return value;
}

function organisationsOf(count: number): readonly Organisation[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `organisation-${String(i).padStart(ID_DIGITS, "0")}`,
    plan: "plan",
    keySha256: String(i).padStart(KEY_DIGITS, "0"),
  }));
}

function mean(values: readonly number[]): number {
  return Math.round(values.reduce((a, b) => a + b, 0) / values.length);
}

function round(ms: number): number {
  return Math.round(ms * 100) / 100;
}
