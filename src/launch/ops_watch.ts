/**
 * What the operations run sees of a deployment from outside.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type { RunningDeployment } from "./deployment.ts";

const CLI_PATH = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const ANSWER_MS = 2_000;

/** State of one process, from its metrics. */
export interface Sighting {
  readonly name: string;
  readonly domain: string;
  readonly version: number;
  /** Wall-clock time at which the version came into force. */
  readonly appliedAt: number;
  readonly takesWork: boolean;
  /** Wall-clock time at which the last call started; 0 without one. */
  readonly lastStartAt: number;
  readonly reads: number;
  readonly writes: number;
}

/** End of a command. */
export interface CommandEnd {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
  readonly ms: number;
}

/** Reads the metrics of every agent and entry; silent ones are left out. */
export async function sightAll(
  { topology }: RunningDeployment,
): Promise<readonly Sighting[]> {
  const all = [...topology.agents, ...topology.entries];
  const seen = await Promise.all(all.map(async ({ name, domain, control }) => {
    const text = await textOf(
      `http://${control.address}:${control.port}/metrics`,
    );
    return text === undefined ? [] : [{ name, domain, ...sightingOf(text) }];
  }));
  return seen.flat();
}

/** Runs the command line against the deployment's table service. */
export async function runCommand(
  { topology }: RunningDeployment,
  args: readonly string[],
): Promise<CommandEnd> {
  const startedAt = Date.now();
  const child = spawn(process.execPath, [CLI_PATH, ...args], {
    env: { ...process.env, CASSIAPOST_TABLE_URL: topology.tableUrl },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const out: string[] = [];
  const errs: string[] = [];
  child.stdout.on("data", (data) => out.push(String(data)));
  child.stderr.on("data", (data) => errs.push(String(data)));
  const [code] = await once(child, "close");
  return {
    code: (code as number | null) ?? 1,
    stdout: out.join(""),
    stderr: errs.join(""),
    ms: Date.now() - startedAt,
  };
}

/**
 * Switches faults of the table service: for everyone, or for the processes of
 * one failure domain.
 */
export async function setFaults(
  { topology }: RunningDeployment,
  faults: object,
  domain?: string,
): Promise<void> {
  const urls = domain
    ? [topology.tableUrls.get(domain)]
    : [topology.tableUrl, ...topology.tableUrls.values()];
  await Promise.all(urls.map(async (url) => {
    const res = await request(`${url}/control`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(faults),
    });
    await res.body.dump();
  }));
}

async function textOf(url: string): Promise<string | undefined> {
  try {
    const signal = AbortSignal.timeout(ANSWER_MS);
    const res = await request(url, { signal });
    return await res.body.text();
  } catch {
    return undefined;
  }
}

function sightingOf(text: string) {
  const lines = text.split("\n");
  const sum = (start: string) =>
    lines.filter((line) => line.startsWith(`cassiapost_${start}`))
      .reduce((total, line) => total + Number(line.split(" ").at(-1)), 0);
  return {
    version: sum("lists_version"),
    appliedAt: sum("lists_applied_at_ms"),
    takesWork: sum("lists_takes_work") === 1,
    lastStartAt: sum("last_call_started_at_ms"),
    reads: sum('platform_calls_total{call="read"'),
    writes: sum('platform_calls_total{call="write"'),
  };
}
