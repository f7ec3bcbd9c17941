/**
 * Program that runs one experiment and prints its report.
 *
 * @module
 */

import { cac } from "cac";
import { CONTROL_COST } from "./control_cost.ts";
import type { Experiment } from "./experiment.ts";

const EXPERIMENTS: readonly Experiment[] = [CONTROL_COST];

const DEFAULT_SEED = 1;

const cli = cac("bench");
cli.command("[name]", "Run an experiment")
  .option("--seed <number>", "Seed", { default: DEFAULT_SEED })
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
    console.log(JSON.stringify(report, null, flags.json ? 0 : 2));
  });
cli.help();
cli.parse();
