/**
 * One random history: callers send and repeat while processes die and pause
 * and the platform, the connections and the targets fail.
 *
 * @module
 */

import { seededRandom, sleep } from "../kernel/mod.ts";
import { auditSoak, type SoakAudit } from "./audit.ts";
import { Callers } from "./callers.ts";
import { noFaults, SimFleet } from "./sim_fleet.ts";

/** Length and size of a history. */
export interface HistoryOptions {
  readonly seed: number;
  /** Keys that callers use. */
  readonly keys: number;
  /** Time in which callers start, in milliseconds of the simulated clock. */
  readonly lengthMs: number;
}

/** Time after the last start in which all is settled, in milliseconds. */
export const SETTLE_MS = 50_000;
const STEP_MS = 500;

/** Runs a history on the runtime's clock and audits it. */
export async function runHistory(opts: HistoryOptions): Promise<SoakAudit> {
  const random = seededRandom(opts.seed);
  const fleet = new SimFleet({
    pools: { encode: 2, file: 3 },
    entries: 3,
    random,
    faults: noFaults(),
  });
  const callers = new Callers(fleet);
  const requests = Array.from({ length: opts.keys }, async (_, i) => {
    await sleep(random() * opts.lengthMs);
    await callers.request(`m${opts.seed}-${i}`);
  });
  await disturb(fleet, opts.lengthMs);
  calm(fleet);
  await Promise.all(requests);
  await sleep(SETTLE_MS);
  await callers.repeatAll();
  fleet.stop();
  return auditSoak(callers, fleet.log.executions);
}

/** Switches faults and signals processes at random. */
async function disturb(fleet: SimFleet, lengthMs: number): Promise<void> {
  for (let at = 0; at < lengthMs; at += STEP_MS) {
    await sleep(STEP_MS);
    pick(DISTURBANCES, fleet.random)(fleet);
  }
}

/** Ends all faults and lets every process go on. */
function calm(fleet: SimFleet): void {
  const { table, link, target } = noFaults();
  Object.assign(fleet.faults.table, table);
  Object.assign(fleet.faults.link, link);
  Object.assign(fleet.faults.target, target);
  fleet.targets.forEach((one) => fleet.agent(one).shell.resume());
  fleet.entries.forEach(({ shell }, i) => {
    shell.resume();
    if (!shell.isAlive) fleet.startEntry(i);
  });
}

const DISTURBANCES: readonly ((fleet: SimFleet) => void)[] = [
  calm,
  (fleet) => {
    fleet.faults.table.outage = !fleet.faults.table.outage;
  },
  ({ faults, random }) => {
    faults.table.loseAnswers = random() * 0.5;
    faults.table.lateWrites = random() * 0.3;
    faults.table.rateLimited = random() * 0.3;
    faults.table.maxDelayMs = random() * 300;
  },
  ({ faults, random }) => {
    faults.link.cut = random() * 0.3;
    faults.link.silent = random() * 0.3;
    faults.link.crossed = random() * 0.3;
    faults.link.delayed = random() * 0.3;
  },
  ({ faults, random }) => {
    faults.target.refuse = random() * 0.3;
    faults.target.failAfter = random() * 0.2;
    faults.target.mute = random() * 0.2;
    faults.target.maxMs = random() * 1_500;
  },
  (fleet) => fleet.agent(pick(fleet.targets, fleet.random)).shell.pause(),
  (fleet) => fleet.agent(pick(fleet.targets, fleet.random)).shell.resume(),
  killAgent,
  replacePaused,
  (fleet) => {
    const i = Math.floor(fleet.random() * fleet.entries.length);
    fleet.entries[i]?.shell.kill();
    fleet.startEntry(i);
  },
  (fleet) => pick(fleet.entries, fleet.random).shell.pause(),
];

function killAgent(fleet: SimFleet): void {
  const target = pick(fleet.targets, fleet.random);
  fleet.agent(target).shell.kill();
  fleet.startAgent(target);
}

/** Starts a second agent beside a target whose first one is paused. */
function replacePaused(fleet: SimFleet): void {
  const target = pick(fleet.targets, fleet.random);
  const old = fleet.agent(target).shell;
  old.pause();
  fleet.startAgent(target);
  setTimeout(() => old.resume(), fleet.random() * 8_000);
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}
