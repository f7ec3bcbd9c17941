#!/usr/bin/env node
/**
 * Entry point of the command line tool.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { runApp } from "./app.ts";
import type { RegisterCommands } from "./command.ts";
import { costsCommands } from "./costs_commands.ts";
import { daemonCommands } from "./daemon_commands.ts";
import { explainCommands } from "./explain_commands.ts";
import { listsCommands } from "./lists_commands.ts";
import { loadCommands } from "./load_commands.ts";
import { outcomesCommands } from "./outcomes_commands.ts";
import { statusCommands } from "./status_commands.ts";
import { targetsCommands } from "./targets_commands.ts";

const GROUPS: readonly RegisterCommands[] = [
  costsCommands,
  daemonCommands,
  explainCommands,
  listsCommands,
  loadCommands,
  outcomesCommands,
  statusCommands,
  targetsCommands,
];

const PACKAGE_URL = new URL("../../../package.json", import.meta.url);
const { version } = JSON.parse(readFileSync(PACKAGE_URL, "utf8"));

process.exitCode = await runApp(process.argv, {
  version,
  groups: GROUPS,
  printError: (line) => console.error(line),
});
