/**
 * Command that shows the state of each process.
 *
 * @module
 */

import type { CAC } from "cac";
import { readLists, readPeers } from "../process/mod.ts";
import { connectPeers } from "../wire/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { tableOf } from "./lists_commands.ts";
import { type ProcessStatus, queryProcesses } from "./rollout.ts";
import { operatorKeyStore } from "./command.ts";

interface StatusFlags {
  table?: string;
  json?: boolean;
}

/** Adds `status`. */
export function statusCommands(cli: CAC): void {
  cli.command(
    "status",
    "Show each process and the version of the lists it uses",
  )
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
      "The table service did not respond, so the processes are unknown",
    );
  }
  const statuses = await queryProcesses(peers.value, {
    connect: connectPeers(operatorKeyStore()),
    query: { version: lists.value.version },
  });
  const { version, availability } = lists.value;
  if (flags.json) {
    const processes = statuses.map(({ info, state }) => ({
      ...info,
      ...state,
    }));
    return console.log(JSON.stringify({ version, availability, processes }));
  }
  console.log(
    `version=${version} domains_out=${listOf(availability.domainsOut)} ` +
      `hosts_out=${listOf(availability.hostsOut)}`,
  );
  statuses.forEach((status) => console.log(processLine(status)));
}

function processLine({ info, state }: ProcessStatus): string {
  const { name, domain, url } = info;
  const stateText = state
    ? `reachable=true version=${state.listsVersion} ` +
      `standing=${state.standing} ready=${state.ready} ` +
      `confirmed_age_ms=${Math.round(state.confirmedAgeMs ?? -1)}`
    : "reachable=false";
  return `process=${name} domain=${domain} url=${url} ${stateText}`;
}

function listOf(names: readonly string[]): string {
  return names.join(",") || "none";
}
