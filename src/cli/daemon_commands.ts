/**
 * Commands that run the daemons.
 *
 * @module
 */

import type { CAC } from "cac";
import { startAgent } from "../agent/mod.ts";
import {
  agentSettingsSchema,
  entrySettingsSchema,
  readChecked,
} from "../config/mod.ts";
import { startEntry } from "../entry/mod.ts";
import { checkedOrFail, runDaemon } from "./daemon.ts";

interface DaemonFlags {
  settings: string;
  check?: boolean;
}

/** Adds `entry` and `agent`. */
export function daemonCommands(cli: CAC): void {
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
}
