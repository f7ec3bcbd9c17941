/**
 * Program that kills and pauses entries and agents of a running deployment at
 * random, under load and with repeats of the same keys, and audits every
 * answer against the records of the services.
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
/** Time between two disturbances, in milliseconds. */
const STEP_MS = 600;
const LONGEST_PAUSE_MS = 7_000;
const LONGEST_DOWN_MS = 2_000;
const LONGEST_FAULT_MS = 3_000;
/** Time after the disturbances in which the system comes to rest, in ms. */
const REST_MS = 5_000;
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
  const disturbed = await disturb(deployment, { random, until });
  await Promise.all(load);
  await sleep(REST_MS);
  await repeatUndone(callers, arrivals);
  await report(deployment, callers, disturbed);
}

/** Repeats every key once more that was not told to be done. */
async function repeatUndone(
  callers: ChaosCallers,
  arrivals: readonly Arrival[],
): Promise<void> {
  const done = new Set(
    callers.tellings.filter(({ told }) => told === "done")
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
  const audit = auditChaos(callers.tellings, filings);
  console.error(JSON.stringify(countReasons(callers)));
  await callers.close();
  await deployment.fleet.stopAll();
  const figures = { ...disturbed, ...audit, invariant_violations: violations };
  console.log(
    Object.entries(figures).map(([name, value]) => `${name}=${value}`)
      .join(" "),
  );
  const broken = audit.doubled + audit.lost + audit.misdelivered +
    audit.falselyNotRun + violations;
  process.exit(broken === 0 ? 0 : 1);
}

/** Number of answers by what was told and why. */
function countReasons({ tellings }: ChaosCallers): Record<string, number> {
  const counts: Record<string, number> = {};
  tellings.forEach(({ told, reason, arrival }) => {
    const name = `${told} ${reason ?? ""} ${arrival.work.pipeline}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

/** Disturbs the deployment until `until`; counts what it did. */
async function disturb(
  deployment: RunningDeployment,
  { random, until }: { random: () => number; until: number },
): Promise<Record<string, number>> {
  const { fleet } = deployment;
  const counts = { kills: 0, pauses: 0, table_faults: 0 };
  const names = ["entry-", "agent-"].map((prefix) => fleet.names(prefix));
  const recoveries: Promise<void>[] = [];
  const busy = new Set<string>();
  while (Date.now() < until) {
    await sleep(STEP_MS * (0.5 + random()));
    const group = names[random() < 0.3 ? 0 : 1] ?? [];
    const name = group[Math.floor(random() * group.length)] ?? "";
    const kind = random();
    if (kind < 0.15) {
      counts.table_faults += 1;
      recoveries.push(faultTable(deployment, random));
    } else if (!busy.has(name)) {
      busy.add(name);
      const isKill = kind < 0.55;
      counts[isKill ? "kills" : "pauses"] += 1;
      const over = isKill
        ? killAndRestart(deployment, { name, random })
        : pauseAndResume(deployment, { name, random });
      recoveries.push(over.finally(() => busy.delete(name)));
    }
  }
  await Promise.all(recoveries);
  return counts;
}

interface Disturbance {
  readonly name: string;
  readonly random: () => number;
}

async function killAndRestart(
  { fleet }: RunningDeployment,
  { name, random }: Disturbance,
): Promise<void> {
  fleet.signal(name, "SIGKILL");
  await sleep(random() * LONGEST_DOWN_MS);
  fleet.restart(name);
}

async function pauseAndResume(
  { fleet }: RunningDeployment,
  { name, random }: Disturbance,
): Promise<void> {
  fleet.signal(name, "SIGSTOP");
  await sleep(random() * LONGEST_PAUSE_MS);
  fleet.signal(name, "SIGCONT");
}

/** Lets the table service fail for a while. */
async function faultTable(
  deployment: RunningDeployment,
  random: () => number,
): Promise<void> {
  const fault = random() < 0.4
    ? { outage: true }
    : { loseAnswers: random() * 0.4, slowMs: random() * 200 };
  await setFaults(deployment, fault);
  await sleep(random() * LONGEST_FAULT_MS);
  await setFaults(deployment, NO_TABLE_FAULTS);
}
