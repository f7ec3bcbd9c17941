/**
 * Plans the processes of a deployment on loopback and their settings.
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

/** Failure domains and pools of a deployment. */
export type Deployment = z.infer<typeof deploymentSchema>;

/** Settings of every process of a deployment. */
export interface Topology {
  readonly platform: StandInSettings;
  /** Settings of one stand-in process for each failure domain. */
  readonly targets: readonly StandInSettings[];
  readonly agents: readonly AgentSettings[];
  readonly entries: readonly EntrySettings[];
  /** Base URLs that callers use. */
  readonly entryUrls: readonly string[];
  readonly tableUrl: string;
  /** URL of the table service by the failure domain that uses it. */
  readonly tableUrls: ReadonlyMap<string, string>;
  /** URLs of the services that record filings. */
  readonly filingUrls: readonly string[];
}

const ADDRESS = "127.0.0.1";
/**
 * Covers the linger time after leaving, the longest deadline, the closing of
 * idle connections and a slow platform.
 */
const DRAIN_MS = 30_000;
const HOST_LIST_LAG_MS = 2_000;
const MAX_BODY_BYTES = 1_048_576;
const COLD_LIMIT = 2;
const MAX_LIMIT = 32;
/** Difference between the seeds of two stand-in processes. */
const SEED_STRIDE = 1_000;
/** Number of agents of each domain that the settings list as peers. */
const SEEDS_PER_DOMAIN = 2;
const PLATFORM_KINDS = [
  StandInKind.Table,
  StandInKind.ObjectStore,
  StandInKind.HostList,
  StandInKind.WeightStore,
] as const;

/** Options for planning a deployment. */
export interface TopologyOptions {
  readonly basePort: number;
  readonly seed: number;
  readonly logLevel?: "info" | "warn";
  /** Certificate that all agents and entries share; without it, plain HTTP. */
  readonly tls?: TlsFiles;
}

/** Plans a deployment on consecutive ports from `basePort`. */
export function planTopology(
  deployment: Deployment,
  opts: TopologyOptions,
): Topology {
  return new Planner(deployment, opts).plan();
}

/** A target with its failure domain and ports. */
interface PlacedTarget {
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
  readonly #placedTargets: readonly PlacedTarget[];
  #nextPort: number;

  constructor(deployment: Deployment, opts: TopologyOptions) {
    this.#deployment = deployment;
    this.#opts = opts;
    this.#nextPort = opts.basePort;
    this.#platformPorts = PLATFORM_KINDS.map(() => this.#allocatePort());
    this.#tablePorts = new Map(
      deployment.domains.map((domain) => [domain, this.#allocatePort()]),
    );
    this.#placedTargets = deployment.pools.flatMap((pool) =>
      this.#placeTargets(pool)
    );
  }

  plan(): Topology {
    const agents = this.#placedTargets.map((one) => this.#agentSettings(one));
    const entries = this.#deployment.domains.flatMap((domain) =>
      this.#entrySettings(domain)
    );
    return {
      platform: this.#platformSettings([...agents, ...entries]),
      targets: this.#deployment.domains.map((domain, i) =>
        this.#targetSettings(domain, i)
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

  #allocatePort(): number {
    return this.#nextPort++;
  }

  #placeTargets(pool: PlacedTarget["pool"]): readonly PlacedTarget[] {
    const { domains } = this.#deployment;
    return Array.from({ length: pool.count }, (_, i) => ({
      pool,
      id: `${pool.name}-${i + 1}`,
      domain: domains[i % domains.length] as string,
      targetPort: this.#allocatePort(),
      agentPort: this.#allocatePort(),
    }));
  }

  #agentSettings(
    { pool, id, domain, targetPort, agentPort }: PlacedTarget,
  ): AgentSettings {
    return {
      ...this.#commonSettings(domain),
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

  #entrySettings(domain: string): readonly EntrySettings[] {
    const { entriesPerDomain } = this.#deployment;
    return Array.from({ length: entriesPerDomain }, (_, i) => ({
      ...this.#commonSettings(domain),
      name: `entry-${domain}-${i + 1}`,
      host: `host-entry-${domain}-${i + 1}`,
      listen: { address: ADDRESS, port: this.#allocatePort() },
      control: { address: ADDRESS, port: this.#allocatePort() },
      listenTls: false,
      maxBodyBytes: MAX_BODY_BYTES,
    }));
  }

  /** Returns the settings that all processes of a failure domain share. */
  #commonSettings(domain: string) {
    const tablePort = this.#tablePorts.get(domain) as number;
    return {
      domain,
      tls: this.#opts.tls,
      platform: { ...this.#platformUrls(), tableUrl: urlOf(tablePort) },
      peers: this.#seedPeers(),
      outageRule: OutageRule.EveryDomain,
      telemetry: {
        logLevel: this.#opts.logLevel ?? LogLevel.Warn,
        traceExport: TraceExport.None,
      },
      drainMs: DRAIN_MS,
    };
  }

  #seedPeers() {
    const scheme = this.#opts.tls ? "https" : "http";
    return this.#deployment.domains.flatMap((domain) =>
      this.#placedTargets.filter((one) => one.domain === domain)
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

  #platformSettings(
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

  #targetSettings(domain: string, i: number): StandInSettings {
    return {
      address: ADDRESS,
      seed: this.#opts.seed + (i + 1) * SEED_STRIDE,
      hostListLagMs: 0,
      hosts: [],
      standIns: this.#placedTargets.filter((one) => one.domain === domain)
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
