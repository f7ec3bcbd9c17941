/**
 * Commands that run an entry or an agent.
 *
 * @module
 */

import type { CAC } from "cac";
import type { z } from "zod";
import { startAgent } from "../agent/mod.ts";
import {
  agentSettingsSchema,
  entrySettingsSchema,
  type ProcessSettings,
  readChecked,
} from "../config/mod.ts";
import { startEntry } from "../entry/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import { KeyStore } from "../tls/mod.ts";
import { requireFlag } from "./command.ts";
import { runDaemon, unwrapChecked } from "./daemon.ts";

interface DaemonFlags {
  readonly settings?: string;
  readonly check?: boolean;
}

/** A daemon that the command line can run. */
interface Daemon<T extends ProcessSettings> {
  readonly name: string;
  readonly summary: string;
  readonly schema: z.ZodType<T>;
  start(cfg: T): Promise<Kernel>;
}

/** Adds `entry` and `agent`. */
export function daemonCommands(cli: CAC): void {
  addDaemon(cli, {
    name: "entry",
    summary: "Run an entry, which accepts requests and runs pipelines",
    schema: entrySettingsSchema,
    start: startEntry,
  });
  addDaemon(cli, {
    name: "agent",
    summary: "Run an agent, which controls the calls to its target",
    schema: agentSettingsSchema,
    start: startAgent,
  });
}

function addDaemon<T extends ProcessSettings>(
  cli: CAC,
  daemon: Daemon<T>,
): void {
  cli.command(daemon.name, daemon.summary)
    .option("--settings <file>", "Path of the settings, a JSON file")
    .option("--check", "Check the settings and exit")
    .action(async (flags: DaemonFlags) => {
      const path = requireFlag(flags.settings, "--settings");
      const cfg = unwrapChecked(path, readChecked(path, daemon.schema));
      if (cfg.tls) unwrapChecked(path, KeyStore.open(cfg.tls));
      if (flags.check) return;
      await runDaemon(() => daemon.start(cfg), cfg);
    });
}
