/**
 * Access of the operations run to a deployment: metrics, commands and faults.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import type { RunningDeployment } from "./deployment.ts";

const CLI_PATH = fileURLToPath(new URL("../cli/main.js", import.meta.url));
const RESPONSE_TIMEOUT_MS = 2_000;

/** Sample of the metrics of a process. */
export interface ProcessSample {
  readonly name: string;
  readonly domain: string;
  readonly version: number;
  /** Wall-clock time at which the version came into force. */
  readonly appliedAt: number;
  readonly acceptsWork: boolean;
  /** Wall-clock time at which the last call started; 0 when none did. */
  readonly lastStartAt: number;
  readonly reads: number;
  readonly writes: number;
}

/** Result of a command. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
  readonly ms: number;
}

/** Samples every agent and entry; leaves out those that do not respond. */
export async function sampleAll(
  { topology }: RunningDeployment,
): Promise<readonly ProcessSample[]> {
  const all = [...topology.agents, ...topology.entries];
  const samples = await Promise.all(
    all.map(async ({ name, domain, control }) => {
      const text = await fetchText(
        `http://${control.address}:${control.port}/metrics`,
      );
      return text === undefined ? [] : [{ name, domain, ...parseSample(text) }];
    }),
  );
  return samples.flat();
}

/** Runs the command line against the deployment's table service. */
export async function runCommand(
  { topology }: RunningDeployment,
  args: readonly string[],
): Promise<CommandResult> {
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
 * Sets faults of the table service, for all processes or for those of one
 * failure domain.
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

async function fetchText(url: string): Promise<string | undefined> {
  try {
    const signal = AbortSignal.timeout(RESPONSE_TIMEOUT_MS);
    const res = await request(url, { signal });
    return await res.body.text();
  } catch {
    return undefined;
  }
}

function parseSample(text: string) {
  const lines = text.split("\n");
  const sum = (start: string) =>
    lines.filter((line) => line.startsWith(`cassiapost_${start}`))
      .reduce((total, line) => total + Number(line.split(" ").at(-1)), 0);
  return {
    version: sum("lists_version"),
    appliedAt: sum("lists_applied_at_ms"),
    acceptsWork: sum("lists_takes_work") === 1,
    lastStartAt: sum("last_call_started_at_ms"),
    reads: sum('platform_calls_total{call="read"'),
    writes: sum('platform_calls_total{call="write"'),
  };
}
