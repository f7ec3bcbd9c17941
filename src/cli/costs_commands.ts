/**
 * Command that shows the cost of stages.
 *
 * @module
 */

import type { CAC } from "cac";
import { type CostKey, type CostRow, sumCosts } from "../model/mod.ts";
import { type EntryRow, isTargetKey, readAllMembers } from "../process/mod.ts";
import { fetchCosts } from "../wire/mod.ts";
import { operatorKeyStore } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";
import { tableOf } from "./lists_commands.ts";

interface CostsFlags {
  table?: string;
  by: string;
  json?: boolean;
}

/** Keys by which rows are summed, by the value of `--by`. */
const GROUPINGS: Readonly<Record<string, (row: CostRow) => CostKey>> = {
  stage: ({ pipeline, stage }) => ({ organisation: "", pipeline, stage }),
  pipeline: ({ pipeline }) => ({ organisation: "", pipeline, stage: "" }),
  organisation: ({ organisation }) => ({
    organisation,
    pipeline: "",
    stage: "",
  }),
  all: (row) => row,
};

/** Adds `costs`. */
export function costsCommands(cli: CAC): void {
  cli.command("costs", "Show costs by stage, summed over all entries")
    .option("--table <url>", "Base URL of the table service")
    .option("--by <what>", "Grouping: stage, pipeline, organisation or all", {
      default: "stage",
    })
    .option("--json", "Print JSON")
    .action(runCosts);
}

async function runCosts(flags: CostsFlags): Promise<void> {
  const grouping = GROUPINGS[flags.by];
  if (!grouping) {
    throw new CommandError(
      ExitCode.Usage,
      `--by must be one of ${Object.keys(GROUPINGS).join(", ")}`,
    );
  }
  const members = await readAllMembers(tableOf(flags));
  if (members.isErr()) {
    throw new CommandError(
      ExitCode.Refused,
      "The table service did not respond, so the entries are unknown",
    );
  }
  const entries = members.value.filter(({ key }) => !isTargetKey(key))
    .map(({ value }) => value as EntryRow);
  const keys = operatorKeyStore();
  const responses = await Promise.allSettled(
    entries.map(({ url }) => fetchCosts(url, keys)),
  );
  const unreachable = entries
    .filter((_, i) => responses[i]?.status === "rejected")
    .map(({ name }) => name);
  const rows = responses.flatMap((response) =>
    response.status === "fulfilled" ? response.value : []
  );
  if (entries.length > 0 && unreachable.length === entries.length) {
    throw new CommandError(
      ExitCode.Refused,
      `No entry responded: ${unreachable.join(", ")}`,
    );
  }
  const costs = sumCosts(rows, grouping);
  if (flags.json) return console.log(JSON.stringify({ costs, unreachable }));
  costs.map(lineOf).forEach((line) => console.log(line));
  console.log(
    `entries=${entries.length} unreachable=${unreachable.join(",") || "none"}`,
  );
}

/** Formats a row as key=value pairs; times are in milliseconds. */
export function lineOf(row: CostRow): string {
  const names = (["organisation", "pipeline", "stage"] as const)
    .filter((name) => row[name] !== "")
    .map((name) => `${name}=${row[name]}`);
  const wasted = row.workMs === 0 ? 0 : row.wastedMs / row.workMs;
  return [
    ...names,
    `results=${row.results}`,
    `attempts=${row.attempts}`,
    `work_ms=${Math.round(row.workMs)}`,
    `wasted_ratio=${wasted.toFixed(4)}`,
    `service_ms=${Math.round(row.serviceMs)}`,
    `queued_ms=${Math.round(row.queuedMs)}`,
    `tokens=${row.tokens}`,
    `retries=${row.retries}`,
    `hedges=${row.hedges}`,
  ].join(" ");
}
