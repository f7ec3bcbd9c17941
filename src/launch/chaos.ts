/**
 * Program that kills and pauses entries and agents of a running deployment at
 * random, under load and with repeated requests under the same keys, and
 * audits every response against the records of the services.
 *
 * @module
 */

import { cac } from "cac";
import { seededRandom, sleep } from "../kernel/mod.ts";
import { type Arrival, planArrivals } from "../load/mod.ts";
import type { Filing } from "../standin/mod.ts";
import { auditChaos } from "./chaos_audit.ts";
import { ChaosCallers } from "./chaos_callers.ts";
import { RunningDeployment } from "./deployment.ts";
import { setFaults } from "./ops_watch.ts";

const DEFAULT_BASE_PORT = 21_000;
const FIRST_PORT = Number(
  process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT,
);
const MS_PER_S = 1_000;
/** Mean time between two injected faults, in milliseconds. */
const FAULT_INTERVAL_MS = 600;
const MAX_PAUSE_MS = 7_000;
const MAX_DOWN_MS = 2_000;
const MAX_TABLE_FAULT_MS = 3_000;
/** Time in which the system recovers after the last fault, in ms. */
const RECOVERY_MS = 5_000;
const NO_TABLE_FAULTS = { outage: false, loseAnswers: 0, slowMs: 0 };

interface ChaosFlags {
  seed: number;
  seconds: number;
  rate: number;
  deployment: string;
}

const cli = cac("chaos");
cli.command("", "Kill and pause processes under load")
  .option("--seed <number>", "Seed", { default: 1 })
  .option("--seconds <number>", "Length of the run", { default: 30 })
  .option("--rate <number>", "Mean new keys per second", { default: 30 })
  .option("--deployment <name>", "Sample deployment", { default: "lindqvist" })
  .action(chaos);
cli.help();
cli.parse();

async function chaos(flags: ChaosFlags): Promise<void> {
  const random = seededRandom(flags.seed);
  const deployment = await RunningDeployment.start(flags.deployment, {
    basePort: FIRST_PORT,
    seed: flags.seed,
  });
  const urls = deployment.topology.entryUrls;
  const callers = new ChaosCallers({ urls, random });
  const arrivals = planArrivals(deployment.load({
    ratePerS: flags.rate,
    durationS: flags.seconds,
    seed: flags.seed,
  }));
  const until = Date.now() + flags.seconds * MS_PER_S;
  const load = arrivals.map(async (arrival) => {
    await sleep(arrival.atMs);
    await callers.request(arrival, until);
  });
  const faultCounts = await injectFaults(deployment, { random, until });
  await Promise.all(load);
  await sleep(RECOVERY_MS);
  await repeatUndone(callers, arrivals);
  await report(deployment, callers, faultCounts);
}

/** Sends one more request for every key that was not reported as done. */
async function repeatUndone(
  callers: ChaosCallers,
  arrivals: readonly Arrival[],
): Promise<void> {
  const done = new Set(
    callers.outcomes.filter(({ reported }) => reported === "done")
      .map(({ arrival }) => arrival.marker),
  );
  const undone = arrivals.filter(({ marker }) => !done.has(marker));
  await Promise.all(undone.map((arrival) => callers.send(arrival)));
}

async function report(
  deployment: RunningDeployment,
  callers: ChaosCallers,
  disturbed: Readonly<Record<string, number>>,
): Promise<void> {
  const filings = await deployment.filings() as readonly Filing[];
  const violations = await deployment.violations();
  const audit = auditChaos(callers.outcomes, filings);
  console.error(JSON.stringify(countReasons(callers)));
  await callers.close();
  await deployment.fleet.stopAll();
  const figures = { ...disturbed, ...audit, invariant_violations: violations };
  console.log(
    Object.entries(figures).map(([name, value]) => `${name}=${value}`)
      .join(" "),
  );
  const failureCount = audit.doubled + audit.lost + audit.misdelivered +
    audit.falselyNotRun + violations;
  process.exit(failureCount === 0 ? 0 : 1);
}

/** Counts the responses by outcome, reason and pipeline. */
function countReasons({ outcomes }: ChaosCallers): Record<string, number> {
  const counts: Record<string, number> = {};
  outcomes.forEach(({ reported, reason, arrival }) => {
    const name = `${reported} ${reason ?? ""} ${arrival.workload.pipeline}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

/** Injects faults until `until` and returns their numbers by kind. */
async function injectFaults(
  deployment: RunningDeployment,
  { random, until }: { random: () => number; until: number },
): Promise<Record<string, number>> {
  const { fleet } = deployment;
  const counts = { kills: 0, pauses: 0, table_faults: 0 };
  const groups = ["entry-", "agent-"].map((prefix) => fleet.names(prefix));
  const recoveries: Promise<void>[] = [];
  const faulted = new Set<string>();
  while (Date.now() < until) {
    await sleep(FAULT_INTERVAL_MS * (0.5 + random()));
    const group = groups[random() < 0.3 ? 0 : 1] ?? [];
    const name = group[Math.floor(random() * group.length)] ?? "";
    const kind = random();
    if (kind < 0.15) {
      counts.table_faults += 1;
      recoveries.push(faultTable(deployment, random));
    } else if (!faulted.has(name)) {
      faulted.add(name);
      const isKill = kind < 0.55;
      counts[isKill ? "kills" : "pauses"] += 1;
      const recovery = isKill
        ? killAndRestart(deployment, { name, random })
        : pauseAndResume(deployment, { name, random });
      recoveries.push(recovery.finally(() => faulted.delete(name)));
    }
  }
  await Promise.all(recoveries);
  return counts;
}

interface ProcessFault {
  readonly name: string;
  readonly random: () => number;
}

async function killAndRestart(
  { fleet }: RunningDeployment,
  { name, random }: ProcessFault,
): Promise<void> {
  fleet.signal(name, "SIGKILL");
  await sleep(random() * MAX_DOWN_MS);
  fleet.restart(name);
}

async function pauseAndResume(
  { fleet }: RunningDeployment,
  { name, random }: ProcessFault,
): Promise<void> {
  fleet.signal(name, "SIGSTOP");
  await sleep(random() * MAX_PAUSE_MS);
  fleet.signal(name, "SIGCONT");
}

/** Injects a fault into the table service for a random time. */
async function faultTable(
  deployment: RunningDeployment,
  random: () => number,
): Promise<void> {
  const fault = random() < 0.4
    ? { outage: true }
    : { loseAnswers: random() * 0.4, slowMs: random() * 200 };
  await setFaults(deployment, fault);
  await sleep(random() * MAX_TABLE_FAULT_MS);
  await setFaults(deployment, NO_TABLE_FAULTS);
}
