/**
 * Engines, agents and entries of an experiment in one process under a paused
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
  PlainService,
} from "../standin/mod.ts";
import { Metrics, SILENT_LOGGER, Tracing } from "../telemetry/mod.ts";
import type { AgentClient } from "../wire/mod.ts";
import { LocalEngineClient, LocalServiceClient } from "./local_client.ts";

/** What a lab is made of. */
export interface LabPlan {
  readonly engines: number;
  readonly encoders: number;
  readonly entries: number;
  readonly engine: Partial<EngineConfig>;
  readonly use: UseList;
  readonly maxLimit: number;
}

/** A target with its stand-in. */
export interface LabTarget {
  readonly target: Target;
  readonly client: TargetClient;
  readonly engine?: Engine;
}

const DOMAINS = ["d1", "d2", "d3"] as const;
const PROVEN_AFTER = 16;
const MAX_QUEUED = 64;
const LOAD_POLL_MS = 500;
/** Time in which entries learn the targets, in milliseconds. */
const READY_MS = 50;

/** The stand-ins of one side. */
export class Lab {
  readonly plan: LabPlan;
  readonly targets: readonly LabTarget[];
  readonly #abort = new AbortController();
  readonly #agents = new Map<string, Agent>();
  readonly #table = new MemoryTable();
  readonly #metrics: Metrics[] = [];

  constructor(plan: LabPlan, opts: { seed: number }) {
    // Every gate of the lab listens to it.
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
        client: new LocalServiceClient(new PlainService(DEFAULT_SERVICE)),
      })),
    ];
  }

  /** The engines of the lab. */
  get engines(): readonly Engine[] {
    return this.targets.flatMap(({ engine }) => engine ?? []);
  }

  /** Starts agents and entries of the project; gives the entries' runners. */
  async startEntries(): Promise<readonly Runner[]> {
    const platform = this.#platform();
    const change = { organisations: { organisations: [] }, use: this.plan.use };
    (await changeLists(this.#table, EMPTY_LISTS, change))._unsafeUnwrap();
    for (const one of this.targets) {
      this.#agents.set(one.target.agentUrl, this.#startAgent(one));
      await registerTarget(this.#table, one.target);
    }
    const runners = Array.from(
      { length: this.plan.entries },
      (_, i) => this.#startEntry(i, platform),
    );
    await sleep(READY_MS);
    return runners;
  }

  /** Sum of a counter over the lab's processes. */
  total(counter: string): number {
    return this.#metrics.reduce((sum, one) => sum + one.total(counter), 0);
  }

  /** Ends every service of the lab. */
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

  #startAgent({ target, client, engine }: LabTarget): Agent {
    const { signal } = this.#abort;
    const gate = new GateService({
      coldLimit: DEFAULT_ENGINE.coldBears,
      maxLimit: this.plan.maxLimit,
      maxQueued: MAX_QUEUED,
      provenAfter: PROVEN_AFTER,
      showsProgress: target.kind === TargetKind.Engine,
    }, signal);
    const poll = setInterval(() => {
      const report = engine ? engine.load : { ageMs: 0, cold: false };
      if (report) gate.report(report);
    }, LOAD_POLL_MS);
    signal.addEventListener("abort", () => clearInterval(poll));
    return new Agent({
      ...this.#telemetry(target.id),
      name: target.id,
      target,
      gate,
      claims: new ClaimService(this.#table),
      client,
      lists: this.#lists(`agent-${target.id}`, target.domain),
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
      lists: this.#lists(`entry-${i}`, domainAt(i)),
      homeDomain: domainAt(i),
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

  #lists(name: string, domain: string): ListsSync {
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
    exchange: (question) => Promise.resolve(agent.exchange(question)),
    renew: () => {},
    close: () => Promise.resolve(),
  };
}
