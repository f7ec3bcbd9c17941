/**
 * Program that keeps a sample deployment running until it is interrupted.
 *
 * @module
 */

import { cac } from "cac";
import { once } from "node:events";
import { RunningDeployment } from "./deployment.ts";

const DEFAULT_BASE_PORT = 21_000;
const SEED = 1;

const cli = cac("up");
cli.command("[name]", "Run a sample deployment: lindqvist or abay")
  .option("--port <number>", "First port in use", {
    default: DEFAULT_BASE_PORT,
  })
  .option("--tls", "Use TLS between the processes")
  .action(up);
cli.help();
cli.parse();

async function up(
  name: string | undefined,
  flags: { port: number; tls?: boolean },
): Promise<void> {
  const deployment = await RunningDeployment.start(name ?? "lindqvist", {
    basePort: flags.port,
    seed: SEED,
    tls: flags.tls,
  });
  const { topology, fleet } = deployment;
  console.log(`entries=${topology.entryUrls.join(",")}`);
  console.log(`table=${topology.tableUrl}`);
  console.log("Interrupt to stop.");
  await Promise.race([once(process, "SIGINT"), once(process, "SIGTERM")]);
  await fleet.stopAll();
}
