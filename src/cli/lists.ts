/**
 * Commands that show and change the operators' lists.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import {
  checkCustomerList,
  checkTogether,
  checkUseList,
} from "../config/mod.ts";
import type { Availability, Lists } from "../model/mod.ts";
import { HttpTable } from "../platform/mod.ts";
import { changeLists, type ListsChange, readLists } from "../process/mod.ts";
import { checkedOrFail } from "./daemon.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Lists as they stand in the table service. */
export async function fetchLists(tableUrl: string): Promise<Lists> {
  const read = await readLists(new HttpTable(tableUrl));
  if (read.isOk()) return read.value;
  throw new CommandError(ExitCode.Refused, read.error.message);
}

/** Reads a file with `customers`, `use` or both and checks all of it. */
export function readListsFile(path: string, standing: Lists): ListsChange {
  const file = JSON.parse(readFileSync(path, "utf8"));
  const customers = "customers" in file
    ? checkedOrFail(
      "The customer list",
      checkCustomerList({ customers: file.customers }),
    )
    : undefined;
  const use = "plans" in file
    ? checkedOrFail(
      "The use list",
      checkUseList({ plans: file.plans, pipelines: file.pipelines }),
    )
    : undefined;
  checkedOrFail(
    "The lists",
    checkTogether(customers ?? standing.customers, use ?? standing.use),
  );
  return { customers, use };
}

/** Accepts a change on top of the standing lists; gives its version. */
export async function acceptChange(
  tableUrl: string,
  standing: Lists,
  change: ListsChange,
): Promise<number> {
  const table = new HttpTable(tableUrl);
  const result = await changeLists(table, standing.version, change);
  if (result.isErr()) {
    throw new CommandError(ExitCode.Refused, result.error.message);
  }
  if (!result.value.committed) {
    throw new CommandError(
      ExitCode.Refused,
      `Another change was accepted after version ${standing.version}`,
    );
  }
  return standing.version + 1;
}

/** Availability after a domain or host is taken out or put back. */
export function changeAvailability(
  before: Availability,
  order: { what: "domain" | "host"; out: boolean; name: string },
): Availability {
  const field = order.what === "domain" ? "domainsOut" : "hostsOut";
  const others = before[field].filter((name) => name !== order.name);
  return { ...before, [field]: order.out ? [...others, order.name] : others };
}
