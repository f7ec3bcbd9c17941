/**
 * Command that lists the targets and why some of them get no new work.
 *
 * @module
 */

import type { CAC } from "cac";
import type { TargetLoad } from "../model/mod.ts";
import { HostState, HttpHostList } from "../store/mod.ts";
import { readLists, readTargets, type TargetRow } from "../process/mod.ts";
import { TrpcAgentClient } from "../wire/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { tableOf } from "./lists_commands.ts";
import { statusOf, type TargetStatus } from "./targets.ts";
import { operatorKeyStore } from "./command.ts";

/** Largest number of agents that are queried concurrently. */
const MAX_CONCURRENT_QUERIES = 32;
const QUERY_TIMEOUT_MS = 1_000;

interface TargetsFlags {
  table?: string;
  hosts?: string;
  pool?: string;
  json?: boolean;
}

interface TargetLine {
  readonly target: TargetRow;
  readonly status: TargetStatus;
  readonly load?: TargetLoad;
}

/** Adds `targets`. */
export function targetsCommands(cli: CAC): void {
  cli.command(
    "targets",
    "Show each target, its load and whether it gets new work",
  )
    .option("--table <url>", "Base URL of the table service")
    .option("--hosts <url>", "Base URL of the host list")
    .option("--pool <name>", "Show only the targets of one pool")
    .option("--json", "Print JSON")
    .action(runTargets);
}

async function runTargets(flags: TargetsFlags): Promise<void> {
  const table = tableOf(flags);
  const read = await readTargets(table);
  const lists = await readLists(table);
  if (read.isErr() || lists.isErr()) {
    throw new CommandError(
      ExitCode.Refused,
      "The table service did not respond, so the targets are unknown",
    );
  }
  const targets = read.value
    .filter(({ pool }) => flags.pool === undefined || pool === flags.pool);
  const leavingHosts = await readLeavingHosts(flags.hosts);
  const loads = await queryLoads(targets);
  const { availability } = lists.value;
  const lines = targets.map((target, i): TargetLine => {
    const load = loads[i];
    return {
      target,
      load,
      status: statusOf(target, { availability, leavingHosts, load }),
    };
  });
  if (flags.json) {
    return console.log(JSON.stringify({ targets: lines.map(jsonOf) }));
  }
  lines.forEach((line) => console.log(textOf(line)));
}

/** Returns the hosts marked as leaving; none without a host list. */
async function readLeavingHosts(
  url: string | undefined,
): Promise<ReadonlySet<string>> {
  if (url === undefined) return new Set();
  const hosts = await new HttpHostList(url).list();
  if (hosts.isErr()) {
    throw new CommandError(ExitCode.Refused, hosts.error.message);
  }
  const leaving = hosts.value
    .filter(({ state }) => state === HostState.Leaving);
  return new Set(leaving.map(({ host }) => host));
}

/** Queries the loads in the order of the targets; undefined on failure. */
async function queryLoads(
  targets: readonly TargetRow[],
): Promise<readonly (TargetLoad | undefined)[]> {
  const loads: (TargetLoad | undefined)[] = [];
  for (let start = 0; start < targets.length; start += MAX_CONCURRENT_QUERIES) {
    const batch = targets.slice(start, start + MAX_CONCURRENT_QUERIES);
    loads.push(...await Promise.all(batch.map(queryLoad)));
  }
  return loads;
}

async function queryLoad(target: TargetRow): Promise<TargetLoad | undefined> {
  const client = new TrpcAgentClient(target.agentUrl, operatorKeyStore());
  try {
    return (await client.targetState(AbortSignal.timeout(QUERY_TIMEOUT_MS)))
      .load;
  } catch {
    return undefined;
  } finally {
    await client.close();
  }
}

function jsonOf({ target, status, load }: TargetLine): object {
  const { id, pool, kind, host, domain, agentUrl, stamp } = target;
  const incarnation = stamp?.incarnation;
  return { id, pool, kind, host, domain, agentUrl, incarnation, status, load };
}

function textOf({ target, status, load }: TargetLine): string {
  const { id, pool, host, domain } = target;
  const loadText = load
    ? ` running=${load.running} queued=${load.queued} limit=${load.limit}`
    : "";
  return `target=${id} pool=${pool} domain=${domain} host=${host} ` +
    `status=${status}${loadText}`;
}
