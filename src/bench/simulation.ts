/**
 * Simulation of engines, agents and entries in one process under a paused
 * clock, without sockets.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import {
  Agent,
  ClaimService,
  GateService,
  type TargetClient,
} from "../agent/mod.ts";
import {
  AdmissionService,
  Directory,
  Dispatcher,
  Runner,
} from "../entry/mod.ts";
import { sleep } from "../kernel/mod.ts";
import {
  EMPTY_LISTS,
  type Target,
  TargetKind,
  type UseList,
} from "../model/mod.ts";
import {
  changeLists,
  ListsSync,
  type Platform,
  registerTarget,
} from "../process/mod.ts";
import {
  DEFAULT_ENGINE,
  DEFAULT_SERVICE,
  Engine,
  type EngineConfig,
  MemoryHostList,
  MemoryObjectStore,
  MemoryTable,
  MemoryWeightStore,
  SimulatedService,
} from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { LocalEngineClient, LocalServiceClient } from "./local_client.ts";

/** Numbers and settings of the processes of a simulation. */
export interface SimulationPlan {
  readonly engines: number;
  readonly encoders: number;
  readonly entries: number;
  readonly engine: Partial<EngineConfig>;
  readonly use: UseList;
  readonly maxLimit: number;
}

/** A target with its stand-in. */
export interface SimulationTarget {
  readonly target: Target;
  readonly client: TargetClient;
  readonly engine?: Engine;
}

const DOMAINS = ["d1", "d2", "d3"] as const;
const PROVEN_AFTER = 16;
const MAX_QUEUED = 64;
const LOAD_POLL_MS = 500;
/** Time that entries take to discover the targets, in milliseconds. */
const DISCOVERY_MS = 50;

/** The simulated processes of one variant. */
export class Simulation {
  readonly plan: SimulationPlan;
  readonly targets: readonly SimulationTarget[];
  readonly #abort = new AbortController();
  readonly #agents = new Map<string, Agent>();
  readonly #table = new MemoryTable();
  readonly #metrics: Metrics[] = [];

  constructor(plan: SimulationPlan, opts: { seed: number }) {
    // Every gate listens to this signal; 0 turns off the warning about leaks.
    setMaxListeners(0, this.#abort.signal);
    this.plan = plan;
    this.targets = [
      ...Array.from({ length: plan.engines }, (_, i) => {
        const cfg = { ...DEFAULT_ENGINE, ...plan.engine };
        const engine = new Engine(cfg, opts.seed + i);
        const client = new LocalEngineClient(engine);
        const target = targetAt("models", TargetKind.Engine, i);
        return { target, client, engine };
      }),
      ...Array.from({ length: plan.encoders }, (_, i) => ({
        target: targetAt("encoders", TargetKind.Service, i),
        client: new LocalServiceClient(new SimulatedService(DEFAULT_SERVICE)),
      })),
    ];
  }

  /** Returns the engines of the simulation. */
  get engines(): readonly Engine[] {
    return this.targets.flatMap(({ engine }) => engine ?? []);
  }

  /**
   * Starts the agents and entries of this project; returns the runners of the
   * entries.
   */
  async startEntries(): Promise<readonly Runner[]> {
    const platform = this.#platform();
    const change = { organisations: { organisations: [] }, use: this.plan.use };
    (await changeLists(this.#table, EMPTY_LISTS, change))._unsafeUnwrap();
    for (const simulated of this.targets) {
      this.#agents.set(simulated.target.agentUrl, this.#startAgent(simulated));
      await registerTarget(this.#table, simulated.target);
    }
    const runners = Array.from(
      { length: this.plan.entries },
      (_, i) => this.#startEntry(i, platform),
    );
    await sleep(DISCOVERY_MS);
    return runners;
  }

  /** Returns the sum of a counter over all processes. */
  total(counter: string): number {
    return this.#metrics.reduce((sum, one) => sum + one.total(counter), 0);
  }

  /** Stops all services of the simulation. */
  stop(): void {
    this.#abort.abort();
  }

  #platform(): Platform {
    return {
      table: this.#table,
      objects: new MemoryObjectStore(),
      hosts: new MemoryHostList({ hosts: [], lagMs: 0 }),
      weights: new MemoryWeightStore({ modelBytes: 1, bytesPerS: 1 }),
    };
  }

  #startAgent({ target, client, engine }: SimulationTarget): Agent {
    const { signal } = this.#abort;
    const gate = new GateService({
      coldLimit: DEFAULT_ENGINE.coldBears,
      maxLimit: this.plan.maxLimit,
      maxQueued: MAX_QUEUED,
      minSuccesses: PROVEN_AFTER,
      streamsProgress: target.kind === TargetKind.Engine,
    }, signal);
    const poll = setInterval(() => {
      const report = engine ? engine.load : { ageMs: 0, cold: false };
      if (report) gate.report(report);
    }, LOAD_POLL_MS);
    signal.addEventListener("abort", () => clearInterval(poll));
    return new Agent({
      ...this.#telemetry(target.id),
      target,
      gate,
      claims: new ClaimService(this.#table),
      client,
      lists: this.#startLists(`agent-${target.id}`, target.domain),
    });
  }

  #startEntry(
    i: number,
    platform: Platform,
  ): Runner {
    const telemetry = this.#telemetry(`entry-${i}`);
    const directory = new Directory({
      ...telemetry,
      platform,
      lists: this.#startLists(`entry-${i}`, domainAt(i)),
      localDomain: domainAt(i),
      connect: ({ agentUrl }) => this.#connect(agentUrl),
    });
    directory.run(this.#abort.signal);
    const admission = new AdmissionService(telemetry);
    const dispatcher = new Dispatcher({ ...telemetry, directory, admission });
    return new Runner({ dispatcher, admission });
  }

  #connect(url: string): AgentClient {
    return localAgent(this.#agents.get(url) as Agent);
  }

  #startLists(name: string, domain: string): ListsSync {
    const lists = new ListsSync({
      info: { name, domain, url: `local:${name}` },
      table: this.#table,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
      connect: ({ url }) => this.#connect(url),
    });
    lists.run(this.#abort.signal);
    return lists;
  }

  #telemetry(process: string) {
    const metrics = new Metrics();
    this.#metrics.push(metrics);
    return {
      log: SILENT_LOGGER,
      metrics,
      tracing: new Tracing({ to: "none", log: SILENT_LOGGER, process }),
    };
  }
}

function domainAt(i: number): string {
  return DOMAINS[i % DOMAINS.length] as string;
}

function targetAt(pool: string, kind: TargetKind, i: number): Target {
  const id = `${pool}-${i + 1}`;
  const domain = domainAt(i);
  return {
    id,
    pool,
    kind,
    host: `host-${id}`,
    domain,
    agentUrl: `local:${id}`,
  };
}

function localAgent(agent: Agent): AgentClient {
  return {
    call: (call, signal) => Promise.resolve(agent.call(call, signal)),
    targetState: () => Promise.resolve(agent.targetState()),
    peerState: () => Promise.resolve(agent.peerState()),
    listsSince: (version) => Promise.resolve(agent.listsSince(version)),
    exchange: (request) => Promise.resolve(agent.exchange(request)),
    renew: () => {},
    close: () => Promise.resolve(),
  };
}
