/**
 * Command that lists the targets and why any of them gets no new work.
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
import { fleetKeys } from "./command.ts";

/** Agents that are asked at the same time. */
const ASKED_AT_ONCE = 32;
const ASK_MS = 1_000;

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
  cli.command("targets", "Show each target and whether it gets new work")
    .option("--table <url>", "Base URL of the table service")
    .option("--hosts <url>", "Base URL of the host list")
    .option("--pool <name>", "Only the targets of one pool")
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
      "The table service does not answer, so the targets are not known",
    );
  }
  const targets = read.value
    .filter(({ pool }) => flags.pool === undefined || pool === flags.pool);
  const leavingHosts = await readLeavingHosts(flags.hosts);
  const loads = await askLoads(targets);
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

/** Hosts marked as leaving; none when no host list is named. */
async function readLeavingHosts(
  url: string | undefined,
): Promise<ReadonlySet<string>> {
  if (url === undefined) return new Set();
  const entries = await new HttpHostList(url).list();
  if (entries.isErr()) {
    throw new CommandError(ExitCode.Refused, entries.error.message);
  }
  const leaving = entries.value
    .filter(({ state }) => state === HostState.Leaving);
  return new Set(leaving.map(({ host }) => host));
}

/** Loads in the order of the targets; undefined where no agent answers. */
async function askLoads(
  targets: readonly TargetRow[],
): Promise<readonly (TargetLoad | undefined)[]> {
  const loads: (TargetLoad | undefined)[] = [];
  for (let at = 0; at < targets.length; at += ASKED_AT_ONCE) {
    const batch = targets.slice(at, at + ASKED_AT_ONCE);
    loads.push(...await Promise.all(batch.map(askLoad)));
  }
  return loads;
}

async function askLoad(target: TargetRow): Promise<TargetLoad | undefined> {
  const client = new TrpcAgentClient(target.agentUrl, fleetKeys());
  try {
    return (await client.targetState(AbortSignal.timeout(ASK_MS))).load;
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
  const known = load
    ? ` running=${load.running} queued=${load.queued} limit=${load.limit}`
    : "";
  return `target=${id} pool=${pool} domain=${domain} host=${host} ` +
    `status=${status}${known}`;
}
