/**
 * One random history: callers send and repeat requests while processes die and
 * pause and the platform, the connections and the targets fail.
 *
 * @module
 */

import { seededRandom, sleep } from "../kernel/mod.ts";
import { auditSoak, type SoakAudit } from "./audit.ts";
import { Callers } from "./callers.ts";
import { noFaults, SimFleet } from "./sim_fleet.ts";

/** Options of a history. */
export interface HistoryOptions {
  readonly seed: number;
  /** Number of callers, each with a key of its own. */
  readonly keys: number;
  /**
   * Period in which callers start and faults are injected, in milliseconds of
   * the simulated clock.
   */
  readonly lengthMs: number;
}

/** Wait after the callers have ended, until all calls are settled, in ms. */
export const SETTLE_MS = 50_000;
/** Interval of the injected faults, in milliseconds. */
const FAULT_INTERVAL_MS = 500;

/** Runs a history on the clock of the runtime and audits it. */
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
  await injectFaults(fleet, opts.lengthMs);
  clearFaults(fleet);
  await Promise.all(requests);
  await sleep(SETTLE_MS);
  await callers.repeatAll();
  fleet.stop();
  return auditSoak(callers, fleet.log.executions);
}

/** Changes faults and signals processes at random. */
async function injectFaults(fleet: SimFleet, lengthMs: number): Promise<void> {
  for (let at = 0; at < lengthMs; at += FAULT_INTERVAL_MS) {
    await sleep(FAULT_INTERVAL_MS);
    pick(FAULT_ACTIONS, fleet.random)(fleet);
  }
}

/** Ends all faults, resumes all processes and restarts dead entries. */
function clearFaults(fleet: SimFleet): void {
  const { table, link, target } = noFaults();
  Object.assign(fleet.faults.table, table);
  Object.assign(fleet.faults.link, link);
  Object.assign(fleet.faults.target, target);
  fleet.targets.forEach((one) => fleet.agent(one).simProcess.resume());
  fleet.entries.forEach(({ simProcess }, i) => {
    simProcess.resume();
    if (!simProcess.isAlive) fleet.startEntry(i);
  });
}

const FAULT_ACTIONS: readonly ((fleet: SimFleet) => void)[] = [
  clearFaults,
  (fleet) => {
    fleet.faults.table.outage = !fleet.faults.table.outage;
  },
  ({ faults, random }) => {
    faults.table.loseAnswers = random() * 0.5;
    faults.table.delayedWrites = random() * 0.3;
    faults.table.rateLimited = random() * 0.3;
    faults.table.maxDelayMs = random() * 300;
  },
  ({ faults, random }) => {
    faults.link.cut = random() * 0.3;
    faults.link.silent = random() * 0.3;
    faults.link.mixed = random() * 0.3;
    faults.link.delayed = random() * 0.3;
  },
  ({ faults, random }) => {
    faults.target.refuse = random() * 0.3;
    faults.target.failAfterRun = random() * 0.2;
    faults.target.mute = random() * 0.2;
    faults.target.maxCallMs = random() * 1_500;
  },
  (fleet) => fleet.agent(pick(fleet.targets, fleet.random)).simProcess.pause(),
  (fleet) => fleet.agent(pick(fleet.targets, fleet.random)).simProcess.resume(),
  restartAgent,
  replacePausedAgent,
  (fleet) => {
    const i = Math.floor(fleet.random() * fleet.entries.length);
    fleet.entries[i]?.simProcess.kill();
    fleet.startEntry(i);
  },
  (fleet) => pick(fleet.entries, fleet.random).simProcess.pause(),
];

/** Kills an agent and starts its replacement. */
function restartAgent(fleet: SimFleet): void {
  const target = pick(fleet.targets, fleet.random);
  fleet.agent(target).simProcess.kill();
  fleet.startAgent(target);
}

/**
 * Pauses an agent, starts a second one beside its target and resumes the first
 * one later.
 */
function replacePausedAgent(fleet: SimFleet): void {
  const target = pick(fleet.targets, fleet.random);
  const oldProcess = fleet.agent(target).simProcess;
  oldProcess.pause();
  fleet.startAgent(target);
  setTimeout(() => oldProcess.resume(), fleet.random() * 8_000);
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}
