/**
 * The project's own entries and agents over the stand-ins of a world.
 *
 * @module
 */

import { Hono } from "hono";
import { startAgent } from "../agent/mod.ts";
import {
  type AgentSettings,
  agentSettingsSchema,
  type EntrySettings,
  entrySettingsSchema,
} from "../config/mod.ts";
import { startEntry } from "../entry/mod.ts";
import { type Kernel, serviceKey, sleep } from "../kernel/mod.ts";
import { listen, type Listening, METRICS } from "../process/mod.ts";
import type { ServedSide } from "./harness.ts";
import type { World, WorldTarget } from "./world.ts";

const ADDRESS = "127.0.0.1";
const FREE_PORT = { address: ADDRESS, port: 0 };
const LISTEN = serviceKey<Listening>("listen");
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 10_000;
const STOP_TIMEOUT_MS = 3_000;
const DEFAULT_COLD_LIMIT = 2;
const DEFAULT_MAX_LIMIT = 32;

/** Entries and agents of one side. */
export interface PolicySide extends ServedSide {
  readonly entries: readonly Kernel[];
  readonly agents: readonly Kernel[];
  /** Sum of a counter over all entries and agents. */
  total(counter: string): number;
}

/** Starts one agent for each target, then the entries. */
export async function startPolicySide(world: World): Promise<PolicySide> {
  const agents = await Promise.all(
    world.targets.map(async (one) =>
      startAgent({
        ...agentSettings(world, one),
        control: await freeAddress(),
      })
    ),
  );
  const entries = await Promise.all(
    entrySettings(world).map(async (cfg) =>
      startEntry({ ...cfg, control: await freeAddress() })
    ),
  );
  const entryUrls = entries.map((entry) =>
    `http://${ADDRESS}:${entry.get(LISTEN).port}`
  );
  await Promise.all(entryUrls.map(waitReady));
  const kernels = [...entries, ...agents];
  return {
    entryUrls,
    entries,
    agents,
    total: (counter) =>
      kernels.reduce((sum, one) => sum + one.get(METRICS).total(counter), 0),
    stop: () => stopAll(entries, agents),
  };
}

/**
 * Address with a port that is free at this moment. Peers learn the control
 * address from settings, where port 0 would tell them nothing.
 */
async function freeAddress(): Promise<{ address: string; port: number }> {
  const probe = await listen(new Hono(), FREE_PORT);
  await probe.close();
  return { address: ADDRESS, port: probe.port };
}

async function stopAll(
  entries: readonly Kernel[],
  agents: readonly Kernel[],
): Promise<void> {
  const stopped = async () => {
    await Promise.all(entries.map((kernel) => kernel.stop()));
    await Promise.all(agents.map((kernel) => kernel.stop()));
  };
  await Promise.race([stopped(), sleep(STOP_TIMEOUT_MS)]);
}

function shared(world: World) {
  return {
    platform: world.urls,
    telemetry: { logLevel: "silent", traceExport: "none" } as const,
  };
}

function agentSettings(
  world: World,
  { target, url }: WorldTarget,
): AgentSettings {
  const { coldLimit, maxLimit } = world.plan;
  return agentSettingsSchema.parse({
    ...shared(world),
    name: `agent-${target.id}`,
    host: target.host,
    domain: target.domain,
    control: FREE_PORT,
    target: {
      id: target.id,
      pool: target.pool,
      kind: target.kind,
      url,
      coldLimit: coldLimit ?? DEFAULT_COLD_LIMIT,
      maxLimit: maxLimit ?? DEFAULT_MAX_LIMIT,
    },
  });
}

function entrySettings(world: World): readonly EntrySettings[] {
  const { domains, entriesPerDomain } = world.plan;
  return domains.flatMap((domain) =>
    Array.from(
      { length: entriesPerDomain },
      (_, i) =>
        entrySettingsSchema.parse({
          ...shared(world),
          name: `entry-${domain}-${i + 1}`,
          host: `host-entry-${domain}-${i + 1}`,
          domain,
          listen: FREE_PORT,
          control: FREE_PORT,
        }),
    )
  );
}

async function waitReady(url: string): Promise<void> {
  const until = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < until) {
    if ((await fetch(`${url}/readyz`)).ok) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error(`Not ready after ${READY_TIMEOUT_MS} ms: ${url}`);
}
