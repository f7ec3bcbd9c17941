/**
 * Submits changes of the operators' lists to the table service.
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

/** Largest number of attempts of an order that conflicts with other changes. */
const MAX_ORDER_ATTEMPTS = 5;

/** An accepted change. */
export interface AcceptedChange {
  readonly lists: Lists;
  readonly update: ListsUpdate;
  /** Differences that the change made, one line each. */
  readonly diff: readonly string[];
}

/** Reads the current lists from the table service. */
export async function fetchLists(table: Table): Promise<Lists> {
  const read = await readLists(table);
  if (read.isOk()) return read.value;
  throw new CommandError(
    ExitCode.Refused,
    `Could not read the lists: ${read.error.message}`,
  );
}

/** Reads a file of lists and checks all of it against the current lists. */
export function readListsFile(path: string, current: Lists): ListsFile {
  const checked = checkListsFile(readJson(path), current);
  if (checked.isOk()) return checked.value;
  throw listsError(path, checked.error);
}

/** Submits a file of lists as a change of the current lists. */
export async function applyFile(
  table: Table,
  opts: { file: ListsFile; standing: Lists },
): Promise<AcceptedChange> {
  const { file, standing: current } = opts;
  if (file.version !== undefined && file.version !== current.version) {
    throw new CommandError(
      ExitCode.Refused,
      `The file starts from version ${file.version}, but version ` +
        `${current.version} is current; nothing was accepted. Against the ` +
        `current lists, the file would change:\n` +
        describeDifference(current, withChange(current, file)),
    );
  }
  const outcome = await accept(table, current, file);
  if (outcome.kind === "accepted") return outcome.accepted;
  throw new CommandError(
    ExitCode.Refused,
    `Another change was accepted after version ${current.version}; ` +
      `nothing of this one was accepted. Differences:\n${outcome.difference}`,
  );
}

/**
 * Submits an order on availability. When another change is accepted first, the
 * order is submitted again on top of it, unless it is in effect by then.
 */
export async function submitOrder(
  table: Table,
  order: AvailabilityOrder,
  onConflict: (difference: string) => void,
): Promise<AcceptedChange | Lists> {
  let current = await fetchLists(table);
  const isAlreadyInEffect = isInEffect(current.availability, order);
  if (isAlreadyInEffect) return current;
  for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS; attempt += 1) {
    const availability = applyOrder(current.availability, order);
    const outcome = await accept(table, current, { availability });
    if (outcome.kind === "accepted") return outcome.accepted;
    onConflict(outcome.difference);
    current = outcome.lists;
    if (isInEffect(current.availability, order)) return current;
  }
  throw new CommandError(
    ExitCode.Refused,
    `Other changes were accepted first ${MAX_ORDER_ATTEMPTS} times; the ` +
      `order was not accepted`,
  );
}

type Outcome =
  | { readonly kind: "accepted"; readonly accepted: AcceptedChange }
  | {
    readonly kind: "conflict";
    readonly lists: Lists;
    readonly difference: string;
  };

async function accept(
  table: Table,
  current: Lists,
  change: ListsChange,
): Promise<Outcome> {
  const acceptance = await acceptLists(table, current, change);
  switch (acceptance.kind) {
    case "accepted": {
      const { lists } = acceptance;
      const delta = diffLists(current, lists);
      const diff = describeDiff(current, lists);
      return {
        kind: "accepted",
        accepted: { lists, update: { kind: "delta", delta }, diff },
      };
    }
    case "conflict": {
      const lists = await fetchLists(table);
      const difference = describeDifference(current, lists);
      return { kind: "conflict", lists, difference };
    }
    case "refused":
      throw new CommandError(
        ExitCode.Refused,
        `The change was not accepted: ${acceptance.detail}`,
      );
    case "unknown":
      throw new CommandError(
        ExitCode.Refused,
        `It is unknown whether the change was accepted as version ` +
          `${current.version + 1}: ${acceptance.detail}. Run "lists show" ` +
          `when the table service responds.`,
      );
  }
}

function withChange(current: Lists, { organisations, use }: ListsFile): Lists {
  return {
    ...current,
    organisations: organisations ?? current.organisations,
    use: use ?? current.use,
  };
}

function describeDifference(before: Lists, after: Lists): string {
  const lines = describeDiff(before, after);
  return lines.length === 0
    ? `nothing still differs (versions ${before.version} to ${after.version})`
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
    `${path} has ${findings.length} errors; nothing was accepted:\n` +
      formatFindings(findings),
  );
}

/** Formats the lists as lines of text. */
export function describeLists(lists: Lists): readonly string[] {
  return [
    `version=${lists.version}`,
    ...describeDiff(EMPTY_LISTS, lists).map((line) =>
      line.replace(/^[+~] /, "")
    ),
  ];
}
