/**
 * Testbed of an experiment: stand-ins of the platform and of the targets,
 * served over HTTP on free ports by this process.
 *
 * @module
 */

import {
  EMPTY_LISTS,
  type Target,
  TargetKind,
  type UseList,
} from "../model/mod.ts";
import { HostState } from "../store/mod.ts";
import { changeLists, listen, type ListeningServer } from "../process/mod.ts";
import {
  createEngineApp,
  createHostListApp,
  createObjectStoreApp,
  createServiceApp,
  createTableApp,
  createWeightStoreApp,
  DEFAULT_ENGINE,
  DEFAULT_SERVICE,
  Engine,
  type EngineConfig,
  type Faults,
  MemoryHostList,
  MemoryObjectStore,
  MemoryTable,
  MemoryWeightStore,
  NO_FAULTS,
  type ServiceConfig,
  SimulatedService,
} from "../standin/mod.ts";
import { Relay } from "./relay.ts";
import { type OrganisationPlan, organisationRow } from "./workload.ts";

const ADDRESS = "127.0.0.1";
const MODEL_BYTES = 16_000_000_000;
const WEIGHT_BYTES_PER_S = 8_000_000_000;
const HOST_LIST_LAG_MS = 2_000;

/** Targets of one pool and the settings of their stand-ins. */
export interface PoolPlan {
  readonly name: string;
  readonly kind: TargetKind;
  readonly count: number;
  readonly engine?: Partial<EngineConfig>;
  readonly service?: Partial<ServiceConfig>;
}

/** Domains, entries, targets and lists of a testbed. */
export interface TestbedPlan {
  readonly domains: readonly string[];
  readonly entriesPerDomain: number;
  readonly pools: readonly PoolPlan[];
  readonly use: UseList;
  readonly organisations: readonly OrganisationPlan[];
  /** True to place a relay in front of every target. */
  readonly relayed?: boolean;
  /** Concurrent calls that the agents assume a cold target can handle. */
  readonly coldLimit?: number;
  /** Maximum number of concurrent calls that an agent allows. */
  readonly maxLimit?: number;
}

/** A target of the testbed, with direct access to its stand-in. */
export interface TestbedTarget {
  /** `agentUrl` is empty, since the testbed does not start the agents. */
  readonly target: Target;
  readonly url: string;
  readonly pool: PoolPlan;
  readonly faults: Faults;
  /** Present when the plan has `relayed` set. */
  readonly relay?: Relay;
  /** Present when the target is a model engine. */
  readonly engine?: Engine;
  /** Present when the target is a plain service. */
  readonly simulatedService?: SimulatedService;
}

/** Base URLs of the platform's services. */
export interface PlatformUrls {
  readonly tableUrl: string;
  readonly objectStoreUrl: string;
  readonly hostListUrl: string;
  readonly weightStoreUrl: string;
}

/** The running stand-ins for one variant of an experiment. */
export class Testbed {
  readonly plan: TestbedPlan;
  readonly seed: number;
  readonly table = new MemoryTable();
  readonly hosts: MemoryHostList;
  /** Faults of the table service and the object store. */
  readonly storeFaults: Faults = { ...NO_FAULTS };
  readonly #servers: ListeningServer[] = [];
  #targets: readonly TestbedTarget[] = [];
  #urls: PlatformUrls | undefined;

  private constructor(plan: TestbedPlan, seed: number) {
    this.plan = plan;
    this.seed = seed;
    this.hosts = new MemoryHostList({
      hosts: hostsOf(plan),
      lagMs: HOST_LIST_LAG_MS,
    });
  }

  /** Starts the stand-ins and stores the lists of the plan. */
  static async start(
    plan: TestbedPlan,
    opts: { seed: number },
  ): Promise<Testbed> {
    const testbed = new Testbed(plan, opts.seed);
    await testbed.#startPlatform();
    await testbed.#startTargets();
    const change = {
      organisations: { organisations: plan.organisations.map(organisationRow) },
      use: plan.use,
    };
    (await changeLists(testbed.table, EMPTY_LISTS, change))._unsafeUnwrap();
    return testbed;
  }

  /** Returns all targets of the testbed. */
  get targets(): readonly TestbedTarget[] {
    return this.#targets;
  }

  /** Returns the base URLs of the platform's services. */
  get urls(): PlatformUrls {
    if (!this.#urls) throw new Error("platform stand-ins are not started");
    return this.#urls;
  }

  /** Stops the stand-ins without waiting for open connections to close. */
  stop(): void {
    this.#servers.forEach((server) => void server.close());
    this.#targets.forEach(({ relay }) => relay?.close());
  }

  async #startPlatform(): Promise<void> {
    const opts = { faults: this.storeFaults, seed: this.seed };
    const noFaults = { faults: { ...NO_FAULTS }, seed: this.seed };
    const weights = new MemoryWeightStore({
      modelBytes: MODEL_BYTES,
      bytesPerS: WEIGHT_BYTES_PER_S,
    });
    this.#urls = {
      tableUrl: await this.#serve(createTableApp(this.table, opts)),
      objectStoreUrl: await this.#serve(
        createObjectStoreApp(new MemoryObjectStore(), opts),
      ),
      hostListUrl: await this.#serve(createHostListApp(this.hosts, noFaults)),
      weightStoreUrl: await this.#serve(
        createWeightStoreApp(weights, noFaults),
      ),
    };
  }

  async #startTargets(): Promise<void> {
    const instances = this.plan.pools.flatMap((pool) =>
      Array.from({ length: pool.count }, (_, i) => ({ pool, i }))
    );
    this.#targets = await Promise.all(
      instances.map(({ pool, i }, n) => this.#startTarget(pool, i, n)),
    );
  }

  async #startTarget(
    pool: PoolPlan,
    i: number,
    n: number,
  ): Promise<TestbedTarget> {
    const opts = { faults: { ...NO_FAULTS }, seed: this.seed + n };
    const common = { target: targetAt(this.plan, pool, i), pool };
    if (pool.kind === TargetKind.Engine) {
      const engine = new Engine({ ...DEFAULT_ENGINE, ...pool.engine });
      const exposed = await this.#expose(createEngineApp(engine, opts));
      return { ...common, ...exposed, faults: opts.faults, engine };
    }
    const simulatedService = new SimulatedService({
      ...DEFAULT_SERVICE,
      ...pool.service,
    });
    const exposed = await this.#expose(
      createServiceApp(simulatedService, opts),
    );
    return {
      ...common,
      ...exposed,
      faults: opts.faults,
      simulatedService,
    };
  }

  /** Serves a target, behind a relay if the plan has `relayed` set. */
  async #expose(
    app: Parameters<typeof listen>[0],
  ): Promise<{ url: string; relay?: Relay }> {
    const url = await this.#serve(app);
    if (!this.plan.relayed) return { url };
    const relay = await Relay.start(Number(new URL(url).port));
    return { url: relay.url, relay };
  }

  async #serve(app: Parameters<typeof listen>[0]): Promise<string> {
    const server = await listen(app, { address: ADDRESS, port: 0 });
    this.#servers.push(server);
    return `http://${ADDRESS}:${server.port}`;
  }
}

function targetAt(plan: TestbedPlan, pool: PoolPlan, i: number): Target {
  const id = `${pool.name}-${i + 1}`;
  return {
    id,
    pool: pool.name,
    kind: pool.kind,
    host: `host-${id}`,
    domain: plan.domains[i % plan.domains.length] as string,
    agentUrl: "",
  };
}

function hostsOf(plan: TestbedPlan) {
  return plan.pools.flatMap((pool) =>
    Array.from({ length: pool.count }, (_, i) => {
      const { host, domain } = targetAt(plan, pool, i);
      return { host, domain, state: HostState.Live };
    })
  );
}
