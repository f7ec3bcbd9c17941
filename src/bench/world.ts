/**
 * Stand-ins of one experiment: the platform and the targets, served over HTTP
 * on free ports of this process.
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
import { changeLists, listen, type Listening } from "../process/mod.ts";
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
  PlainService,
  type ServiceConfig,
} from "../standin/mod.ts";
import { Relay } from "./relay.ts";
import { organisationOf, type OrganisationPlan } from "./workload.ts";

const ADDRESS = "127.0.0.1";
const MODEL_BYTES = 16_000_000_000;
const WEIGHT_BYTES_PER_S = 8_000_000_000;
const HOST_LIST_LAG_MS = 2_000;

/** One pool of an experiment. */
export interface PoolPlan {
  readonly name: string;
  readonly kind: TargetKind;
  readonly count: number;
  readonly engine?: Partial<EngineConfig>;
  readonly service?: Partial<ServiceConfig>;
}

/** What an experiment runs on. */
export interface WorldPlan {
  readonly domains: readonly string[];
  readonly entriesPerDomain: number;
  readonly pools: readonly PoolPlan[];
  readonly use: UseList;
  readonly organisations: readonly OrganisationPlan[];
  /** True to put a relay before every target. */
  readonly relayed?: boolean;
  /** Concurrent calls that the agents assume a cold target to bear. */
  readonly coldLimit?: number;
  /** Most concurrent calls that the agents allow. */
  readonly maxLimit?: number;
}

/** A target of the world, with direct access to its stand-in. */
export interface WorldTarget {
  /** `agentUrl` is empty: no agent stands beside the target yet. */
  readonly target: Target;
  readonly url: string;
  readonly pool: PoolPlan;
  readonly faults: Faults;
  /** Present in a relayed world. */
  readonly relay?: Relay;
  /** Present when the target is a model engine. */
  readonly engine?: Engine;
  /** Present when the target is a plain service. */
  readonly plain?: PlainService;
}

/** Base URLs of the platform's services. */
export interface PlatformUrls {
  readonly tableUrl: string;
  readonly objectStoreUrl: string;
  readonly hostListUrl: string;
  readonly weightStoreUrl: string;
}

/** The running stand-ins of one side of an experiment. */
export class World {
  readonly plan: WorldPlan;
  readonly seed: number;
  readonly table = new MemoryTable();
  readonly hosts: MemoryHostList;
  /** Faults of the table service and the object store. */
  readonly storeFaults: Faults = { ...NO_FAULTS };
  readonly #servers: Listening[] = [];
  #targets: readonly WorldTarget[] = [];
  #urls: PlatformUrls | undefined;

  private constructor(plan: WorldPlan, seed: number) {
    this.plan = plan;
    this.seed = seed;
    this.hosts = new MemoryHostList({
      hosts: hostsOf(plan),
      lagMs: HOST_LIST_LAG_MS,
    });
  }

  /** Starts the stand-ins and accepts the lists of the plan. */
  static async start(
    plan: WorldPlan,
    opts: { seed: number },
  ): Promise<World> {
    const world = new World(plan, opts.seed);
    await world.#startPlatform();
    await world.#startTargets();
    const change = {
      organisations: { organisations: plan.organisations.map(organisationOf) },
      use: plan.use,
    };
    (await changeLists(world.table, EMPTY_LISTS, change))._unsafeUnwrap();
    return world;
  }

  /** Every target of the world. */
  get targets(): readonly WorldTarget[] {
    return this.#targets;
  }

  /** Base URLs of the platform's services. */
  get urls(): PlatformUrls {
    if (!this.#urls) throw new Error("The platform has not started");
    return this.#urls;
  }

  /** Stops the stand-ins; resolves at once when connections linger. */
  stop(): void {
    this.#servers.forEach((server) => void server.close());
    this.#targets.forEach(({ relay }) => relay?.close());
  }

  async #startPlatform(): Promise<void> {
    const opts = { faults: this.storeFaults, seed: this.seed };
    const steady = { faults: { ...NO_FAULTS }, seed: this.seed };
    const weights = new MemoryWeightStore({
      modelBytes: MODEL_BYTES,
      bytesPerS: WEIGHT_BYTES_PER_S,
    });
    this.#urls = {
      tableUrl: await this.#serve(createTableApp(this.table, opts)),
      objectStoreUrl: await this.#serve(
        createObjectStoreApp(new MemoryObjectStore(), opts),
      ),
      hostListUrl: await this.#serve(createHostListApp(this.hosts, steady)),
      weightStoreUrl: await this.#serve(createWeightStoreApp(weights, steady)),
    };
  }

  async #startTargets(): Promise<void> {
    const planned = this.plan.pools.flatMap((pool) =>
      Array.from({ length: pool.count }, (_, i) => ({ pool, i }))
    );
    this.#targets = await Promise.all(
      planned.map(({ pool, i }, n) => this.#startTarget(pool, i, n)),
    );
  }

  async #startTarget(
    pool: PoolPlan,
    i: number,
    n: number,
  ): Promise<WorldTarget> {
    const opts = { faults: { ...NO_FAULTS }, seed: this.seed + n };
    const shared = { target: targetAt(this.plan, pool, i), pool };
    if (pool.kind === TargetKind.Engine) {
      const engine = new Engine({ ...DEFAULT_ENGINE, ...pool.engine });
      const at = await this.#expose(createEngineApp(engine, opts));
      return { ...shared, ...at, faults: opts.faults, engine };
    }
    const plain = new PlainService({ ...DEFAULT_SERVICE, ...pool.service });
    const at = await this.#expose(createServiceApp(plain, opts));
    return { ...shared, ...at, faults: opts.faults, plain };
  }

  /** Serves a target, behind a relay if the plan says so. */
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

function targetAt(plan: WorldPlan, pool: PoolPlan, i: number): Target {
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

function hostsOf(plan: WorldPlan) {
  return plan.pools.flatMap((pool) =>
    Array.from({ length: pool.count }, (_, i) => {
      const { host, domain } = targetAt(plan, pool, i);
      return { host, domain, state: HostState.Live };
    })
  );
}
