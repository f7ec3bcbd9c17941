/**
 * Command that shows what each process knows.
 *
 * @module
 */

import type { CAC } from "cac";
import { readLists, readPeers } from "../process/mod.ts";
import { connectPeers } from "../wire/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { tableOf } from "./lists_commands.ts";
import { askAll, type Asked } from "./rollout.ts";
import { fleetKeys } from "./command.ts";

interface StatusFlags {
  table?: string;
  json?: boolean;
}

/** Adds `status`. */
export function statusCommands(cli: CAC): void {
  cli.command("status", "Show each process and the lists it acts on")
    .option("--table <url>", "Base URL of the table service")
    .option("--json", "Print JSON")
    .action(runStatus);
}

async function runStatus(flags: StatusFlags): Promise<void> {
  const table = tableOf(flags);
  const lists = await readLists(table);
  const peers = await readPeers(table);
  if (lists.isErr() || peers.isErr()) {
    throw new CommandError(
      ExitCode.Refused,
      "The table service does not answer, so the processes are not known",
    );
  }
  const asked = await askAll(peers.value, {
    connect: connectPeers(fleetKeys()),
    question: { version: lists.value.version },
  });
  const { version, availability } = lists.value;
  if (flags.json) {
    const processes = asked.map(({ info, state }) => ({ ...info, ...state }));
    return console.log(JSON.stringify({ version, availability, processes }));
  }
  console.log(
    `version=${version} domains_out=${listOf(availability.domainsOut)} ` +
      `hosts_out=${listOf(availability.hostsOut)}`,
  );
  asked.forEach((one) => console.log(processLine(one)));
}

function processLine({ info, state }: Asked): string {
  const { name, domain, url } = info;
  const known = state
    ? `reachable=true version=${state.listsVersion} ` +
      `standing=${state.standing} ready=${state.ready} ` +
      `confirmed_age_ms=${Math.round(state.confirmedAgeMs ?? -1)}`
    : "reachable=false";
  return `process=${name} domain=${domain} url=${url} ${known}`;
}

function listOf(names: readonly string[]): string {
  return names.join(",") || "none";
}
