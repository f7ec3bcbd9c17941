#!/usr/bin/env node
/**
 * The command line of cassiapost.
 *
 * @module
 */

import { cac } from "cac";
import { startAgent } from "../agent/mod.ts";
import {
  agentSettingsSchema,
  entrySettingsSchema,
  readChecked,
} from "../config/mod.ts";
import { startEntry } from "../entry/mod.ts";
import { checkedOrFail, runDaemon } from "./daemon.ts";
import { CommandError, ExitCode } from "./exit.ts";
import {
  acceptChange,
  changeAvailability,
  fetchLists,
  readListsFile,
} from "./lists.ts";

interface DaemonFlags {
  settings: string;
  check?: boolean;
}

interface TableFlags {
  table: string;
}

const cli = cac("cassiapost");

cli.command("entry", "Run an entry")
  .option("--settings <file>", "Settings in JSON")
  .option("--check", "Only check the settings")
  .action(async (flags: DaemonFlags) => {
    const checked = readChecked(flags.settings, entrySettingsSchema);
    const cfg = checkedOrFail(flags.settings, checked);
    if (flags.check) return;
    runDaemon(await startEntry(cfg), cfg);
  });

cli.command("agent", "Run an agent")
  .option("--settings <file>", "Settings in JSON")
  .option("--check", "Only check the settings")
  .action(async (flags: DaemonFlags) => {
    const checked = readChecked(flags.settings, agentSettingsSchema);
    const cfg = checkedOrFail(flags.settings, checked);
    if (flags.check) return;
    runDaemon(await startAgent(cfg), cfg);
  });

cli.command("lists <action> [file]", "Show, check or apply the lists")
  .option("--table <url>", "Base URL of the table service")
  .action(
    async (action: string, file: string | undefined, flags: TableFlags) => {
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
    },
  );

(["domain", "host"] as const).forEach((what) =>
  cli.command(`${what} <action> <name>`, `Take a ${what} out or put it back`)
    .option("--table <url>", "Base URL of the table service")
    .action(async (action: string, name: string, flags: TableFlags) => {
      const standing = await fetchLists(flags.table);
      const availability = changeAvailability(standing.availability, {
        what,
        out: action === "out",
        name,
      });
      const change = { availability };
      const version = await acceptChange(flags.table, standing, change);
      console.log(`version=${version} ${what}=${name} action=${action}`);
    })
);

cli.help();

try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (err) {
  console.error((err as Error).message);
  process.exitCode = err instanceof CommandError ? err.code : ExitCode.Usage;
}
