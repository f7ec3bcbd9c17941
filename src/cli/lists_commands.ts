/**
 * Commands that show and change the operators' lists.
 *
 * @module
 */

import type { CAC } from "cac";
import { CommandError, ExitCode } from "./exit.ts";
import {
  acceptChange,
  changeAvailability,
  fetchLists,
  readListsFile,
} from "./lists.ts";

interface TableFlags {
  table: string;
}

/** Adds `lists`, `domain` and `host`. */
export function listsCommands(cli: CAC): void {
  cli.command("lists <action> [file]", "Show, check or apply the lists")
    .option("--table <url>", "Base URL of the table service")
    .action(runLists);
  (["domain", "host"] as const).forEach((what) =>
    cli.command(`${what} <action> <name>`, `Take a ${what} out or put it back`)
      .option("--table <url>", "Base URL of the table service")
      .action((action: string, name: string, flags: TableFlags) =>
        runAvailability({ what, action, name }, flags)
      )
  );
}

async function runLists(
  action: string,
  file: string | undefined,
  flags: TableFlags,
): Promise<void> {
  const standing = await fetchLists(flags.table);
  if (action === "show") {
    console.log(JSON.stringify(standing, null, 2));
    return;
  }
  if (!file || !["check", "apply"].includes(action)) {
    throw new CommandError(ExitCode.Usage, "Usage: lists show|check|apply");
  }
  const change = readListsFile(file, standing);
  if (action === "check") return;
  const version = await acceptChange(flags.table, standing, change);
  console.log(`version=${version} accepted=true`);
}

async function runAvailability(
  order: { what: "domain" | "host"; action: string; name: string },
  flags: TableFlags,
): Promise<void> {
  const { what, action, name } = order;
  if (action !== "out" && action !== "in") {
    throw new CommandError(ExitCode.Usage, `Usage: ${what} out|in NAME`);
  }
  const standing = await fetchLists(flags.table);
  const availability = changeAvailability(standing.availability, {
    what,
    out: action === "out",
    name,
  });
  const change = { availability };
  const version = await acceptChange(flags.table, standing, change);
  console.log(`version=${version} ${what}=${name} action=${action}`);
}
