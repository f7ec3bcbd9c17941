/**
 * Processes of a deployment on loopback and their settings.
 *
 * @module
 */

import { z } from "zod";
import type { AgentSettings, EntrySettings } from "../config/mod.ts";
import { OutageRule, TargetKind } from "../model/mod.ts";
import { HostState } from "../platform/mod.ts";
import type { StandInSettings } from "../standin/mod.ts";

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
  /** URLs of the services that record filings. */
  readonly filingUrls: readonly string[];
}

const ADDRESS = "127.0.0.1";
/** Linger, the longest deadline, idle connections and a slow platform. */
const DRAIN_MS = 30_000;
/** Processes of each domain that the settings name to the others. */
const SEEDS_PER_DOMAIN = 2;

/** Plans a deployment on consecutive ports from `basePort`. */
export function planTopology(
  deployment: Deployment,
  opts: { basePort: number; seed: number; logLevel?: "info" | "warn" },
): Topology {
  let port = opts.basePort;
  const nextPort = () => port++;
  const platformPorts = Array.from({ length: 4 }, nextPort);
  const urls = platformPorts.map(urlOf);
  const platformUrls = {
    tableUrl: urls[0] as string,
    objectStoreUrl: urls[1] as string,
    hostListUrl: urls[2] as string,
    weightStoreUrl: urls[3] as string,
  };
  const shared = {
    platform: platformUrls,
    telemetry: {
      logLevel: opts.logLevel ?? "warn",
      traceExport: "none",
    } as const,
    drainMs: DRAIN_MS,
  };
  const placed = deployment.pools.flatMap((pool) =>
    Array.from({ length: pool.count }, (_, i) => ({
      pool,
      id: `${pool.name}-${i + 1}`,
      domain: domainAt(deployment, i),
      targetPort: nextPort(),
      agentPort: nextPort(),
    }))
  );
  const peers = deployment.domains.flatMap((domain) =>
    placed.filter((one) => one.domain === domain).slice(0, SEEDS_PER_DOMAIN)
      .map(({ id, agentPort }) => ({
        name: `agent-${id}`,
        domain,
        url: urlOf(agentPort),
      }))
  );
  const system = {
    ...shared,
    peers,
    outageRule: OutageRule.EveryDomain,
  };
  const agents = placed.map(
    ({ pool, id, domain, targetPort, agentPort }): AgentSettings => ({
      ...system,
      name: `agent-${id}`,
      host: `host-${id}`,
      domain,
      control: { address: ADDRESS, port: agentPort },
      target: {
        id,
        pool: pool.name,
        kind: pool.kind,
        url: urlOf(targetPort),
        checksFencing: false,
        coldLimit: 2,
        maxLimit: 32,
      },
    }),
  );
  const entries = deployment.domains.flatMap((domain) =>
    Array.from({ length: deployment.entriesPerDomain }, (_, i) => ({
      ...system,
      name: `entry-${domain}-${i + 1}`,
      host: `host-entry-${domain}-${i + 1}`,
      domain,
      listen: { address: ADDRESS, port: nextPort() },
      control: { address: ADDRESS, port: nextPort() },
      maxBodyBytes: 1_048_576,
    }))
  );
  const hosts = [...agents, ...entries].map(({ host, domain }) => ({
    host,
    domain,
    state: HostState.Live,
  }));
  return {
    platform: {
      address: ADDRESS,
      seed: opts.seed,
      hostListLagMs: 2_000,
      hosts,
      standIns: [
        { kind: "table", port: platformPorts[0] as number, tune: {} },
        { kind: "object-store", port: platformPorts[1] as number, tune: {} },
        { kind: "host-list", port: platformPorts[2] as number, tune: {} },
        { kind: "weight-store", port: platformPorts[3] as number, tune: {} },
      ],
    },
    targets: deployment.domains.map((domain, i) => ({
      address: ADDRESS,
      seed: opts.seed + (i + 1) * 1_000,
      hostListLagMs: 0,
      hosts: [],
      standIns: placed.filter((one) => one.domain === domain)
        .map(({ pool, targetPort }) => ({
          kind: pool.kind,
          port: targetPort,
          tune: pool.tune,
        })),
    })),
    agents,
    entries,
    entryUrls: entries.map(({ listen }) => urlOf(listen.port)),
    tableUrl: platformUrls.tableUrl,
    filingUrls: agents.filter(({ target }) => target.kind === "service")
      .map(({ target }) => target.url),
  };
}

function domainAt(deployment: Deployment, i: number): string {
  const { domains } = deployment;
  return domains[i % domains.length] as string;
}

function urlOf(port: number): string {
  return `http://${ADDRESS}:${port}`;
}
