/**
 * Simulated fleet in one process: real agents, dispatchers and runners over
 * simulated connections, targets and platform.
 *
 * @module
 */

import { Agent, ClaimService, GateService } from "../agent/mod.ts";
import {
  Checkpoints,
  Dispatcher,
  KeyRecord,
  Runner,
  type TargetDirectory,
} from "../entry/mod.ts";
import { EMPTY_LISTS, type Target, TargetKind } from "../model/mod.ts";
import { ClaimStore, type ListsSync } from "../process/mod.ts";
import { MemoryObjectStore, MemoryTable } from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { FaultyTable, type TableFaults } from "./faulty_table.ts";
import { SimProcess } from "./sim_process.ts";
import { type LinkFaults, SimLink } from "./sim_link.ts";
import { ExecutionLog, SimTarget, type TargetFaults } from "./sim_target.ts";

/** Faults of the whole fleet, changed in place while it runs. */
export interface FleetFaults {
  readonly table: TableFaults;
  readonly link: LinkFaults;
  readonly target: TargetFaults;
}

/** Returns the settings of a fleet without faults. */
export function noFaults(): FleetFaults {
  return {
    table: {
      outage: false,
      loseAnswers: 0,
      delayedWrites: 0,
      rateLimited: 0,
      maxDelayMs: 4,
    },
    link: { cut: 0, silent: 0, mixed: 0, delayed: 0 },
    target: { refuse: 0, failAfterRun: 0, mute: 0, maxCallMs: 10 },
  };
}

/** One simulated agent process. */
export interface SimAgent {
  readonly simProcess: SimProcess;
  readonly agent: Agent;
  readonly stop: AbortController;
}

/** One simulated entry process. */
export interface SimEntry {
  readonly simProcess: SimProcess;
  readonly runner: Runner;
}

const GATE_OPTIONS = {
  coldLimit: 8,
  maxLimit: 16,
  maxQueued: 32,
  minSuccesses: 4,
  streamsProgress: false,
};
/** Lists that are always confirmed. */
const CONFIRMED_LISTS = {
  current: { ...EMPTY_LISTS, version: 1 },
  isConfirmed: true,
  confirmedAgeMs: 0,
  observeVersion: () => {},
} as unknown as ListsSync;
const TRACING = new Tracing({
  to: "none",
  log: SILENT_LOGGER,
  process: "soak",
});

/** Fleet of simulated agents and entries. */
export class SimFleet {
  readonly table = new MemoryTable();
  readonly objects = new MemoryObjectStore();
  readonly log = new ExecutionLog();
  readonly metrics = new Metrics();
  readonly targets: readonly Target[];
  readonly faults: FleetFaults;
  readonly random: () => number;
  readonly #agents = new Map<string, SimAgent>();
  readonly #entries: SimEntry[] = [];
  readonly #stops: AbortController[] = [];

  constructor(
    opts: {
      pools: Readonly<Record<string, number>>;
      entries: number;
      random: () => number;
      faults: FleetFaults;
    },
  ) {
    this.random = opts.random;
    this.faults = opts.faults;
    this.targets = Object.entries(opts.pools).flatMap(([pool, count]) =>
      Array.from({ length: count }, (_, i) => createTarget(pool, i))
    );
    this.targets.forEach((target) => this.startAgent(target));
    for (let i = 0; i < opts.entries; i += 1) this.startEntry(i);
  }

  get entries(): readonly SimEntry[] {
    return this.#entries;
  }

  /** Returns the newest agent beside a target. */
  agent(target: Target): SimAgent {
    return this.#agents.get(target.id) as SimAgent;
  }

  /** Starts an agent beside a target; an older one may still be running. */
  startAgent(target: Target): void {
    const simProcess = new SimProcess(`agent-${target.id}`);
    const stop = this.#createStop();
    simProcess.exitSignal.addEventListener("abort", () => stop.abort());
    const agent = new Agent({
      target,
      gate: new GateService(GATE_OPTIONS, stop.signal),
      claims: new ClaimService(this.#tableFor(simProcess), {
        metrics: this.metrics,
      }),
      client: new SimTarget({
        log: this.log,
        faults: this.faults.target,
        random: this.random,
        simProcess,
      }),
      lists: CONFIRMED_LISTS,
      metrics: this.metrics,
      tracing: TRACING,
    });
    this.#agents.set(target.id, { simProcess, agent, stop });
  }

  /** Starts entry `i` in place of the previous one. */
  startEntry(i: number): void {
    const simProcess = new SimProcess(`entry-${i}`);
    const record = new KeyRecord(new ClaimStore(this.#tableFor(simProcess)));
    const { metrics, objects } = this;
    const dispatcher = new Dispatcher({
      directory: this.#directoryFor(simProcess),
      metrics,
      tracing: TRACING,
      record,
    });
    const checkpoints = new Checkpoints({ objects, metrics });
    const runner = new Runner({ dispatcher, record, checkpoints });
    this.#entries[i] = { simProcess, runner };
  }

  /** Stops the timers of all agents. */
  stop(): void {
    this.#stops.forEach((stop) => stop.abort());
  }

  #tableFor(simProcess: SimProcess): FaultyTable {
    return new FaultyTable(this.table, {
      faults: this.faults.table,
      random: this.random,
      simProcess,
    });
  }

  #directoryFor(entry: SimProcess): TargetDirectory {
    const links = new Map(this.targets.map((target) => [
      target.id,
      new SimLink({
        agent: () => this.agent(target).agent,
        host: () => this.agent(target).simProcess,
        faults: this.faults.link,
        random: this.random,
        entry,
      }),
    ]));
    return {
      choose: (pool, { tried }) => {
        const candidates = this.targets.filter((one) =>
          one.pool === pool && !tried.has(one.id)
        );
        return candidates[Math.floor(this.random() * candidates.length)];
      },
      client: (target) => links.get(target.id) as unknown as AgentClient,
      begin: () => () => {},
      observeLists: () => {},
      recordLoad: () => {},
      suspect: () => {},
    };
  }

  #createStop(): AbortController {
    const stop = new AbortController();
    this.#stops.push(stop);
    return stop;
  }
}

function createTarget(pool: string, i: number): Target {
  return {
    id: `${pool}-${i}`,
    pool,
    kind: TargetKind.Service,
    host: `host-${pool}-${i}`,
    domain: `domain-${i % 3}`,
    agentUrl: `sim:${pool}-${i}`,
  };
}
