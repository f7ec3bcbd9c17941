/**
 * Having changes of the operators' lists accepted.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import {
  checkListsFile,
  type Finding,
  formatFindings,
  type ListsFile,
} from "../config/mod.ts";
import {
  applyOrder,
  type AvailabilityOrder,
  describeDiff,
  diffLists,
  isInEffect,
  type ListsChange,
  type ListsUpdate,
} from "../lists/mod.ts";
import { EMPTY_LISTS, type Lists } from "../model/mod.ts";
import type { Table } from "../store/mod.ts";
import { acceptLists, readLists } from "../process/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Tries of an order that other changes overtake. */
const ORDER_TRIES = 5;

/** A change that was accepted. */
export interface Accepted {
  readonly lists: Lists;
  readonly update: ListsUpdate;
  /** What the change did, one line each. */
  readonly diff: readonly string[];
}

/** Lists as they stand in the table service. */
export async function fetchLists(table: Table): Promise<Lists> {
  const read = await readLists(table);
  if (read.isOk()) return read.value;
  throw new CommandError(
    ExitCode.Refused,
    `The lists could not be read: ${read.error.message}`,
  );
}

/** Reads a file of lists and checks all of it against what stands. */
export function readListsFile(path: string, standing: Lists): ListsFile {
  const checked = checkListsFile(readJson(path), standing);
  if (checked.isOk()) return checked.value;
  throw listsError(path, checked.error);
}

/** Has a file of lists accepted on top of the lists that stand. */
export async function applyFile(
  table: Table,
  opts: { file: ListsFile; standing: Lists },
): Promise<Accepted> {
  const { file, standing } = opts;
  if (file.version !== undefined && file.version !== standing.version) {
    throw new CommandError(
      ExitCode.Refused,
      `The file starts from version ${file.version}, but version ` +
        `${standing.version} stands; nothing was accepted. Against what ` +
        `stands, the file would change:\n` +
        differences(standing, withChange(standing, file)),
    );
  }
  const outcome = await accept(table, standing, file);
  if (outcome.kind === "accepted") return outcome.accepted;
  throw new CommandError(
    ExitCode.Refused,
    `Another change was accepted after version ${standing.version}; ` +
      `nothing of this one was. What changed:\n${outcome.difference}`,
  );
}

/**
 * Has an order on availability accepted. When another change comes first and
 * leaves the ordered domain or host alone, the order is given again on top.
 */
export async function giveOrder(
  table: Table,
  order: AvailabilityOrder,
  onOvertaken: (difference: string) => void,
): Promise<Accepted | Lists> {
  let standing = await fetchLists(table);
  const ordered = isInEffect(standing.availability, order);
  if (ordered) return standing;
  for (let attempt = 0; attempt < ORDER_TRIES; attempt += 1) {
    const availability = applyOrder(standing.availability, order);
    const outcome = await accept(table, standing, { availability });
    if (outcome.kind === "accepted") return outcome.accepted;
    onOvertaken(outcome.difference);
    standing = outcome.lists;
    if (isInEffect(standing.availability, order)) return standing;
  }
  throw new CommandError(
    ExitCode.Refused,
    `Other changes were accepted first ${ORDER_TRIES} times; the order is ` +
      `not accepted`,
  );
}

type Outcome =
  | { readonly kind: "accepted"; readonly accepted: Accepted }
  | {
    readonly kind: "raced";
    readonly lists: Lists;
    readonly difference: string;
  };

async function accept(
  table: Table,
  standing: Lists,
  change: ListsChange,
): Promise<Outcome> {
  const acceptance = await acceptLists(table, standing, change);
  switch (acceptance.kind) {
    case "accepted": {
      const { lists } = acceptance;
      const delta = diffLists(standing, lists);
      const diff = describeDiff(standing, lists);
      return {
        kind: "accepted",
        accepted: { lists, update: { kind: "delta", delta }, diff },
      };
    }
    case "raced": {
      const lists = await fetchLists(table);
      const difference = differences(standing, lists);
      return { kind: "raced", lists, difference };
    }
    case "refused":
      throw new CommandError(
        ExitCode.Refused,
        `Nothing was accepted: ${acceptance.detail}`,
      );
    case "unknown":
      throw new CommandError(
        ExitCode.Refused,
        `It is unknown whether the change was accepted as version ` +
          `${standing.version + 1}: ${acceptance.detail}. Run "lists show" ` +
          `when the table service answers.`,
      );
  }
}

function withChange(standing: Lists, { organisations, use }: ListsFile): Lists {
  return {
    ...standing,
    organisations: organisations ?? standing.organisations,
    use: use ?? standing.use,
  };
}

function differences(before: Lists, after: Lists): string {
  const lines = describeDiff(before, after);
  return lines.length === 0
    ? `nothing that still differs (versions ${before.version} to ${after.version})`
    : lines.join("\n");
}

function readJson(path: string): unknown {
  try {
    return JSON.parse(readFileSync(path, "utf8"));
  } catch (err) {
    throw listsError(path, [{ path: "$", message: (err as Error).message }]);
  }
}

function listsError(path: string, findings: readonly Finding[]): CommandError {
  return new CommandError(
    ExitCode.Usage,
    `${path} has ${findings.length} faults; nothing was accepted:\n` +
      formatFindings(findings),
  );
}

/** Lines that describe the lists for a reader. */
export function describeLists(lists: Lists): readonly string[] {
  return [
    `version=${lists.version}`,
    ...describeDiff(EMPTY_LISTS, lists).map((line) =>
      line.replace(/^[+~] /, "")
    ),
  ];
}
