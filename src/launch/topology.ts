/**
 * Processes of a deployment on loopback and their settings.
 *
 * @module
 */

import { z } from "zod";
import type { AgentSettings, EntrySettings } from "../config/mod.ts";
import { OutageRule, TargetKind } from "../model/mod.ts";
import { HostState } from "../store/mod.ts";
import { StandInKind, type StandInSettings } from "../standin/mod.ts";
import { LogLevel, TraceExport } from "../telemetry/mod.ts";
import type { TlsFiles } from "../tls/mod.ts";

/** Schema of a deployment file. */
export const deploymentSchema = z.strictObject({
  name: z.string(),
  domains: z.array(z.string()).min(1),
  entriesPerDomain: z.int().positive(),
  pools: z.array(z.strictObject({
    name: z.string(),
    kind: z.enum(TargetKind),
    count: z.int().positive(),
    tune: z.record(z.string(), z.number()).default({}),
  })),
});

/** A deployment: its domains and pools. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Settings of every process of a deployment. */
export interface Topology {
  readonly platform: StandInSettings;
  /** One stand-in process for each failure domain. */
  readonly targets: readonly StandInSettings[];
  readonly agents: readonly AgentSettings[];
  readonly entries: readonly EntrySettings[];
  /** Base URLs that callers use. */
  readonly entryUrls: readonly string[];
  readonly tableUrl: string;
  /** URL by which the processes of a failure domain reach the table service. */
  readonly tableUrls: ReadonlyMap<string, string>;
  /** URLs of the services that record filings. */
  readonly filingUrls: readonly string[];
}

const ADDRESS = "127.0.0.1";
/** Linger, the longest deadline, idle connections and a slow platform. */
const DRAIN_MS = 30_000;
const HOST_LIST_LAG_MS = 2_000;
const MAX_BODY_BYTES = 1_048_576;
const COLD_LIMIT = 2;
const MAX_LIMIT = 32;
/** Distance between the seeds of two stand-in processes. */
const SEED_STRIDE = 1_000;
/** Processes of each domain that the settings name to the others. */
const SEEDS_PER_DOMAIN = 2;
const PLATFORM_KINDS = [
  StandInKind.Table,
  StandInKind.ObjectStore,
  StandInKind.HostList,
  StandInKind.WeightStore,
] as const;

/** Choices in the plan of a deployment. */
export interface TopologyOptions {
  readonly basePort: number;
  readonly seed: number;
  readonly logLevel?: "info" | "warn";
  /** Certificate that all agents and entries share; plain HTTP without. */
  readonly tls?: TlsFiles;
}

/** Plans a deployment on consecutive ports from `basePort`. */
export function planTopology(
  deployment: Deployment,
  opts: TopologyOptions,
): Topology {
  return new Planner(deployment, opts).plan();
}

/** A target with its place and ports. */
interface Placed {
  readonly pool: Deployment["pools"][number];
  readonly id: string;
  readonly domain: string;
  readonly targetPort: number;
  readonly agentPort: number;
}

class Planner {
  readonly #deployment: Deployment;
  readonly #opts: TopologyOptions;
  readonly #platformPorts: readonly number[];
  readonly #tablePorts: ReadonlyMap<string, number>;
  readonly #placed: readonly Placed[];
  #nextPort: number;

  constructor(deployment: Deployment, opts: TopologyOptions) {
    this.#deployment = deployment;
    this.#opts = opts;
    this.#nextPort = opts.basePort;
    this.#platformPorts = PLATFORM_KINDS.map(() => this.#port());
    this.#tablePorts = new Map(
      deployment.domains.map((domain) => [domain, this.#port()]),
    );
    this.#placed = deployment.pools.flatMap((pool) => this.#place(pool));
  }

  plan(): Topology {
    const agents = this.#placed.map((one) => this.#agent(one));
    const entries = this.#deployment.domains.flatMap((domain) =>
      this.#entries(domain)
    );
    return {
      platform: this.#platform([...agents, ...entries]),
      targets: this.#deployment.domains.map((domain, i) =>
        this.#targets(domain, i)
      ),
      agents,
      entries,
      entryUrls: entries.map(({ listen }) => urlOf(listen.port)),
      tableUrl: this.#platformUrls().tableUrl,
      tableUrls: new Map(
        [...this.#tablePorts].map(([domain, port]) => [domain, urlOf(port)]),
      ),
      filingUrls: agents
        .filter(({ target }) => target.kind === TargetKind.Service)
        .map(({ target }) => target.url),
    };
  }

  #port(): number {
    return this.#nextPort++;
  }

  #place(pool: Placed["pool"]): readonly Placed[] {
    const { domains } = this.#deployment;
    return Array.from({ length: pool.count }, (_, i) => ({
      pool,
      id: `${pool.name}-${i + 1}`,
      domain: domains[i % domains.length] as string,
      targetPort: this.#port(),
      agentPort: this.#port(),
    }));
  }

  #agent({ pool, id, domain, targetPort, agentPort }: Placed): AgentSettings {
    return {
      ...this.#shared(domain),
      name: `agent-${id}`,
      host: `host-${id}`,
      control: { address: ADDRESS, port: agentPort },
      target: {
        id,
        pool: pool.name,
        kind: pool.kind,
        url: urlOf(targetPort),
        checksFencing: false,
        coldLimit: COLD_LIMIT,
        maxLimit: MAX_LIMIT,
      },
    };
  }

  #entries(domain: string): readonly EntrySettings[] {
    const { entriesPerDomain } = this.#deployment;
    return Array.from({ length: entriesPerDomain }, (_, i) => ({
      ...this.#shared(domain),
      name: `entry-${domain}-${i + 1}`,
      host: `host-entry-${domain}-${i + 1}`,
      listen: { address: ADDRESS, port: this.#port() },
      control: { address: ADDRESS, port: this.#port() },
      listenTls: false,
      maxBodyBytes: MAX_BODY_BYTES,
    }));
  }

  /** Settings that the processes of a domain have in common. */
  #shared(domain: string) {
    const tablePort = this.#tablePorts.get(domain) as number;
    return {
      domain,
      tls: this.#opts.tls,
      platform: { ...this.#platformUrls(), tableUrl: urlOf(tablePort) },
      peers: this.#seeds(),
      outageRule: OutageRule.EveryDomain,
      telemetry: {
        logLevel: this.#opts.logLevel ?? LogLevel.Warn,
        traceExport: TraceExport.None,
      },
      drainMs: DRAIN_MS,
    };
  }

  #seeds() {
    const scheme = this.#opts.tls ? "https" : "http";
    return this.#deployment.domains.flatMap((domain) =>
      this.#placed.filter((one) => one.domain === domain)
        .slice(0, SEEDS_PER_DOMAIN)
        .map(({ id, agentPort }) => ({
          name: `agent-${id}`,
          domain,
          url: `${scheme}://${ADDRESS}:${agentPort}`,
        }))
    );
  }

  #platformUrls() {
    const [tableUrl, objectStoreUrl, hostListUrl, weightStoreUrl] = this
      .#platformPorts.map(urlOf) as [string, string, string, string];
    return { tableUrl, objectStoreUrl, hostListUrl, weightStoreUrl };
  }

  #platform(
    processes: readonly { host: string; domain: string }[],
  ): StandInSettings {
    const services = PLATFORM_KINDS.map((kind, i) => ({
      kind,
      port: this.#platformPorts[i] as number,
      tune: {},
    }));
    const tables = [...this.#tablePorts.values()].map((port) => ({
      kind: StandInKind.Table,
      port,
      tune: {},
    }));
    return {
      address: ADDRESS,
      seed: this.#opts.seed,
      hostListLagMs: HOST_LIST_LAG_MS,
      hosts: processes.map(({ host, domain }) => ({
        host,
        domain,
        state: HostState.Live,
      })),
      standIns: [...services, ...tables],
    };
  }

  #targets(domain: string, i: number): StandInSettings {
    return {
      address: ADDRESS,
      seed: this.#opts.seed + (i + 1) * SEED_STRIDE,
      hostListLagMs: 0,
      hosts: [],
      standIns: this.#placed.filter((one) => one.domain === domain)
        .map(({ pool, targetPort }) => ({
          kind: pool.kind,
          port: targetPort,
          tune: pool.tune,
        })),
    };
  }
}

function urlOf(port: number): string {
  return `http://${ADDRESS}:${port}`;
}
