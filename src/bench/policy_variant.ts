/**
 * Starts the entries and agents of this project against the stand-ins of a
 * testbed.
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
import { listen, type ListeningServer, METRICS } from "../process/mod.ts";
import type { ServedVariant } from "./harness.ts";
import type { Testbed, TestbedTarget } from "./testbed.ts";

const ADDRESS = "127.0.0.1";
const FREE_PORT = { address: ADDRESS, port: 0 };
const LISTEN = serviceKey<ListeningServer>("listen");
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 10_000;
const STOP_TIMEOUT_MS = 3_000;
const DEFAULT_COLD_LIMIT = 2;
const DEFAULT_MAX_LIMIT = 32;

/** Running entries and agents of the policy variant. */
export interface PolicyVariant extends ServedVariant {
  readonly entries: readonly Kernel[];
  readonly agents: readonly Kernel[];
  /** Returns the sum of a counter over all entries and agents. */
  total(counter: string): number;
}

/** Starts one agent for each target, then the entries, and waits for them. */
export async function startPolicyVariant(
  testbed: Testbed,
): Promise<PolicyVariant> {
  const agents = await Promise.all(
    testbed.targets.map(async (standIn) =>
      startAgent({
        ...agentSettings(testbed, standIn),
        control: await freeAddress(),
      })
    ),
  );
  const entries = await Promise.all(
    entrySettings(testbed).map(async (cfg) =>
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
 * Returns an address whose port is free at this moment. Processes publish the
 * control address of their settings to peers, so it cannot have port 0.
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
  const stopInOrder = async () => {
    await Promise.all(entries.map((kernel) => kernel.stop()));
    await Promise.all(agents.map((kernel) => kernel.stop()));
  };
  await Promise.race([stopInOrder(), sleep(STOP_TIMEOUT_MS)]);
}

function commonSettings(testbed: Testbed) {
  return {
    platform: testbed.urls,
    telemetry: { logLevel: "silent", traceExport: "none" } as const,
  };
}

function agentSettings(
  testbed: Testbed,
  { target, url }: TestbedTarget,
): AgentSettings {
  const { coldLimit, maxLimit } = testbed.plan;
  return agentSettingsSchema.parse({
    ...commonSettings(testbed),
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

function entrySettings(testbed: Testbed): readonly EntrySettings[] {
  const { domains, entriesPerDomain } = testbed.plan;
  return domains.flatMap((domain) =>
    Array.from(
      { length: entriesPerDomain },
      (_, i) =>
        entrySettingsSchema.parse({
          ...commonSettings(testbed),
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
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if ((await fetch(`${url}/readyz`)).ok) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error(`${url} not ready after ${READY_TIMEOUT_MS} ms`);
}
