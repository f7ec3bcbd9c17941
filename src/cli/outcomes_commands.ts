/**
 * Commands for non-idempotent calls: list and resolve unknown outcomes, and
 * show the records of a request.
 *
 * @module
 */

import type { CAC } from "cac";
import { Resolution } from "../ledger/mod.ts";
import { HttpTable } from "../store/mod.ts";
import { requireFlag, tableUrlOf } from "./command.ts";
import { CommandError, ExitCode } from "./exit.ts";
import {
  type ClaimRecord,
  findRequestRecords,
  findUnknownOutcomes,
  resolveOutcome,
} from "./outcomes.ts";

interface OutcomesFlags {
  table?: string;
  json?: boolean;
  as?: string;
}

/** Adds `outcomes` and `requests`. */
export function outcomesCommands(cli: CAC): void {
  cli.command(
    "outcomes [action] [key]",
    "List unknown outcomes, or resolve ORGANISATION/KEY",
  )
    .option("--table <url>", "Base URL of the table service")
    .option("--as <what>", "Outcome to record: run or not-run")
    .option("--json", "Print JSON")
    .action(runOutcomes);
  cli.command(
    "requests <id>",
    "Show the records of a request, by its id or by ORGANISATION/KEY",
  )
    .option("--table <url>", "Base URL of the table service")
    .option("--json", "Print JSON")
    .action(async (id: string, flags: OutcomesFlags) =>
      print(await findRequestRecords(tableOf(flags), String(id)), flags)
    );
}

async function runOutcomes(
  action: string | undefined,
  key: string | undefined,
  flags: OutcomesFlags,
): Promise<void> {
  if (action === undefined) {
    return print(await findUnknownOutcomes(tableOf(flags)), flags);
  }
  if (action !== "resolve" || !key) {
    throw new CommandError(
      ExitCode.Usage,
      "Usage: outcomes | outcomes resolve ORGANISATION/KEY --as run|not-run",
    );
  }
  const as = resolutionOf(flags);
  const record = await resolveOutcome(tableOf(flags), {
    key: String(key),
    as,
  });
  print([record], flags);
}

function resolutionOf(flags: OutcomesFlags): Resolution {
  const as = requireFlag(flags.as, "--as");
  const found = Object.values(Resolution).find((one) => one === as);
  if (found) return found;
  throw new CommandError(ExitCode.Usage, `--as must be run or not-run`);
}

function tableOf(flags: OutcomesFlags): HttpTable {
  return new HttpTable(tableUrlOf(flags));
}

function print(records: readonly ClaimRecord[], flags: OutcomesFlags): void {
  if (flags.json) {
    console.log(JSON.stringify(records));
    return;
  }
  records.forEach((record) => console.log(lineOf(record)));
}

function lineOf(record: ClaimRecord): string {
  return Object.entries(record)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
