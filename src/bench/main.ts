/**
 * Program that runs one experiment and prints its report.
 *
 * @module
 */

import { cac } from "cac";
import { claims } from "./claims.ts";
import { coldStart } from "./cold_start.ts";
import { controlCost } from "./control_cost.ts";
import { domainOut } from "./domain_out.ts";
import type { Experiment } from "./experiment.ts";
import { listsScale } from "./lists_scale.ts";
import { notices } from "./notices.ts";
import { overhead } from "./overhead.ts";
import { overload } from "./overload.ts";
import { prefix } from "./prefix.ts";
import { shares } from "./shares.ts";
import { silentConnections } from "./silent_connections.ts";
import { storeOutage } from "./store_outage.ts";
import { streamOrigins } from "./stream_origins.ts";

const EXPERIMENTS: readonly Experiment[] = [
  claims,
  coldStart,
  controlCost,
  listsScale,
  overload,
  shares,
  domainOut,
  notices,
  overhead,
  prefix,
  silentConnections,
  storeOutage,
  streamOrigins,
];

const DEFAULT_SEED = 1;

const cli = cac("bench");
cli.command("[name]", "Run an experiment and print its report")
  .option("--seed <number>", "Seed of the random numbers", {
    default: DEFAULT_SEED,
  })
  .option("--json", "Print one JSON object on one line")
  .action(async (
    name: string | undefined,
    flags: { seed: number; json?: boolean },
  ) => {
    const experiment = EXPERIMENTS.find((one) => one.name === name);
    if (!experiment) {
      EXPERIMENTS.forEach((one) =>
        console.error(`${one.name}: ${one.summary}`)
      );
      process.exitCode = 2;
      return;
    }
    const report = await experiment.run({ seed: flags.seed });
    const text = JSON.stringify(report, null, flags.json ? 0 : 2);
    // Exits explicitly: silenced connections would keep the process alive.
    process.stdout.write(text + "\n", () => process.exit());
  });
cli.help();
cli.parse();
