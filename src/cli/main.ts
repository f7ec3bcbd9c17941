#!/usr/bin/env node
/**
 * The command line of cassiapost.
 *
 * @module
 */

import { cac } from "cac";
import type { RegisterCommands } from "./command.ts";
import { daemonCommands } from "./daemon_commands.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { listsCommands } from "./lists_commands.ts";
import { statusCommands } from "./status_commands.ts";

const GROUPS: readonly RegisterCommands[] = [
  daemonCommands,
  listsCommands,
  statusCommands,
];

const cli = cac("cassiapost");
GROUPS.forEach((register) => register(cli));
cli.help();

try {
  cli.parse(process.argv, { run: false });
  await cli.runMatchedCommand();
} catch (err) {
  console.error((err as Error).message);
  process.exitCode = err instanceof CommandError ? err.code : ExitCode.Usage;
}
