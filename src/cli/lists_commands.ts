/**
 * Commands that show and change the operators' lists.
 *
 * @module
 */

import type { CAC } from "cac";
import { monotonicMs } from "../kernel/mod.ts";
import type { AvailabilityOrder } from "../lists/mod.ts";
import type { Lists } from "../model/mod.ts";
import { HttpTable, type Table } from "../store/mod.ts";
import { readPeers } from "../process/mod.ts";
import type { PeerInfo } from "../wire/mod.ts";
import { tableUrlOf } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";
import {
  type AcceptedChange,
  applyFile,
  describeLists,
  fetchLists,
  readListsFile,
  submitOrder,
} from "./lists.ts";
import { type Rollout, watchRollout } from "./rollout.ts";

/** Default of the longest wait for a change to be in force, in seconds. */
const DEFAULT_WAIT_S = 20;
const MS_PER_S = 1_000;

/** Registered processes; undefined when they could not be read. */
type RegisteredPeers = readonly PeerInfo[] | undefined;

interface ListsFlags {
  table?: string;
  wait?: number | string;
  json?: boolean;
}

/** Adds `lists`, `domain` and `host`. */
export function listsCommands(cli: CAC): void {
  withFlags(
    cli.command("lists <action> [file]", "Show, check or apply the lists"),
  ).action(runLists);
  (["domain", "host"] as const).forEach((what) =>
    withFlags(
      cli.command(
        `${what} <action> <name>`,
        `Take a ${what} out of service or put it back`,
      ),
    ).action((action: string, name: string, flags: ListsFlags) =>
      runOrder({ what, action, name: String(name) }, flags)
    )
  );
}

function withFlags(command: ReturnType<CAC["command"]>) {
  return command
    .option("--table <url>", "Base URL of the table service")
    .option(
      "--wait <seconds>",
      `Longest wait for the change to be in force, in s (${DEFAULT_WAIT_S})`,
    )
    .option("--json", "Print JSON");
}

/** Returns a client of the table service for a command. */
export function tableOf(flags: { table?: string }): Table {
  return new HttpTable(tableUrlOf(flags));
}

async function runLists(
  action: string,
  file: string | undefined,
  flags: ListsFlags,
): Promise<void> {
  const table = tableOf(flags);
  const waitMs = waitMsOf(flags);
  if (action === "show" && !file) {
    return showLists(await fetchLists(table), flags);
  }
  if (!file || !["check", "apply"].includes(action)) {
    throw new CommandError(
      ExitCode.Usage,
      "Usage: lists show | check FILE | apply FILE",
    );
  }
  const current = await fetchLists(table);
  const checked = readListsFile(file, current);
  if (action === "check") return;
  const peers = await readRegisteredPeers(table);
  const accepted = await applyFile(table, { file: checked, standing: current });
  await reportRollout(table, { accepted, peers, waitMs, flags });
}

async function runOrder(
  order: { what: "domain" | "host"; action: string; name: string },
  flags: ListsFlags,
): Promise<void> {
  const { what, action, name } = order;
  if (action !== "out" && action !== "in") {
    throw new CommandError(ExitCode.Usage, `Usage: ${what} out|in NAME`);
  }
  const table = tableOf(flags);
  const waitMs = waitMsOf(flags);
  const peers = await readRegisteredPeers(table);
  const wanted: AvailabilityOrder = { what, name, out: action === "out" };
  const accepted = await submitOrder(
    table,
    wanted,
    (difference) =>
      console.error(`Another change was accepted first:\n${difference}`),
  );
  await reportRollout(table, { accepted, peers, waitMs, flags });
}

/**
 * Reads the registered processes. Called before the change is submitted, so
 * that an accepted change is sent to them at once.
 */
async function readRegisteredPeers(table: Table): Promise<RegisteredPeers> {
  return (await readPeers(table)).unwrapOr(undefined);
}

/**
 * Waits until a change is in force, prints its progress and sets the exit code.
 */
async function reportRollout(
  table: Table,
  opts: {
    accepted: AcceptedChange | Lists;
    peers: RegisteredPeers;
    waitMs: number;
    flags: ListsFlags;
  },
): Promise<void> {
  const { accepted, flags } = opts;
  const isNew = "update" in accepted;
  const lists = isNew ? accepted.lists : accepted;
  const rollout = await watchRollout(lists.version, {
    table,
    update: isNew ? accepted.update : undefined,
    peers: opts.peers,
    waitMs: opts.waitMs,
    acceptedAt: monotonicMs(),
  });
  const diff = isNew ? accepted.diff : [];
  if (flags.json) {
    console.log(JSON.stringify({ accepted: isNew, diff, ...rollout }));
  } else {
    [...diff, rolloutLine(rollout, isNew)].forEach((line) => console.log(line));
  }
  if (!rollout.done) process.exitCode = ExitCode.Refused;
}

function rolloutLine(rollout: Rollout, isNew: boolean): string {
  const { version, inForceMs, inForce, lagging, unreachable, done } = rollout;
  return [
    `version=${version}`,
    `accepted=${isNew}`,
    `in_force=${done}`,
    `in_force_ms=${inForceMs}`,
    `processes=${inForce.length}`,
    `lagging=${lagging.join(",") || "none"}`,
    `unreachable=${unreachable.join(",") || "none"}`,
  ].join(" ");
}

function showLists(lists: Lists, flags: ListsFlags): void {
  if (flags.json) {
    const { version, organisations, use, availability } = lists;
    const file = { version, ...organisations, ...use };
    return console.log(JSON.stringify({ ...file, availability }, null, 2));
  }
  describeLists(lists).forEach((line) => console.log(line));
}

function waitMsOf({ wait }: ListsFlags): number {
  const seconds = Number(wait ?? DEFAULT_WAIT_S);
  if (Number.isFinite(seconds) && seconds >= 0) return seconds * MS_PER_S;
  throw new CommandError(
    ExitCode.Usage,
    "--wait must be a number of seconds, at least 0",
  );
}
