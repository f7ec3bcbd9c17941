/**
 * Experiment: latency that the system adds to streams, compared with direct
 * calls of the same engines, and processor time of an entry per token.
 *
 * Stand-ins, agents and the entry are processes of their own; the caller is the
 * process of the experiment.
 *
 * @module
 */

import { Agent, request } from "undici";
import { readSse } from "../agent/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  type Deployment,
  Fleet,
  planTopology,
  type Topology,
  waitReady,
} from "../launch/mod.ts";
import { type LoadSettings, runLoad, summarise } from "../load/mod.ts";
import {
  EMPTY_LISTS,
  type PipelineSpec,
  Priority,
  promptOf,
  StageKind,
  TargetKind,
} from "../model/mod.ts";
import { HttpTable } from "../store/mod.ts";
import { changeLists } from "../process/mod.ts";
import { DurationHistogram, type DurationSummary } from "../telemetry/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import { cpuSecondsOf } from "./cpu.ts";
import { organisationKey, organisationRow } from "./workload.ts";

const DEFAULT_BASE_PORT = 26_000;
const MS_PER_S = 1000;
/** Time between two tokens of a stream, in milliseconds. */
const STEP_MS = 15;
/** Tokens per request: 920,000 tokens/s over 4,500 requests/s. */
const TOKENS = 204;
/** Load of one entry at full size: 4,500 requests/s over 360 nodes. */
const NODE_RATE_PER_S = 12.5;
const NODE_TOKENS_PER_S = 2_560;
const LOAD_S = 20;
const WARM_UP_S = 6;
/** Number of pairs of a direct stream and one through the system. */
const PAIRS = 40;
/** Number of pairs that run concurrently. */
const CONCURRENT_PAIRS = 8;
const ENGINE_DOMAINS = 4;
const ORGANISATION = { id: "c1", plan: "p" };

const GENERATE: PipelineSpec = {
  name: "generate",
  stages: [{
    name: "generate",
    kind: StageKind.Generate,
    pool: "models",
    idempotent: true,
    expectedMs: STEP_MS * TOKENS,
    maxTokens: TOKENS,
  }],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: 60_000,
};

const DEPLOYMENT: Deployment = {
  name: "overhead",
  domains: Array.from({ length: ENGINE_DOMAINS }, (_, i) => `d${i + 1}`),
  entriesPerDomain: 1,
  pools: [{
    name: "models",
    kind: TargetKind.Engine,
    count: 2 * ENGINE_DOMAINS,
    tune: { stepMs: STEP_MS, stepMsPerCompletion: 0, warmAfter: 1 },
  }],
};

/** Time to the first token and times between tokens of one stream. */
interface StreamTimes {
  readonly firstMs: number;
  readonly gapsMs: readonly number[];
}

/** Compares streams through the system with direct ones. */
export const overhead: Experiment = {
  name: "overhead",
  summary:
    "first-token and inter-token latency through the system against direct",
  async run({ seed }): Promise<ExperimentReport> {
    const fleet = new Fleet(".run/overhead");
    const topology = onlyFirstEntry(planTopology(DEPLOYMENT, {
      basePort: Number(
        process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT,
      ),
      seed,
    }));
    try {
      await startFleet(fleet, topology);
      await runLoad(loadOf(topology, seed + 1, WARM_UP_S));
      const delays = await compareStreams(topology);
      const cost = await measureCpuCost(fleet, topology, seed);
      return { experiment: "overhead", seed, ...delays, ...cost };
    } finally {
      await fleet.stopAll();
    }
  },
};

function onlyFirstEntry(topology: Topology): Topology {
  return {
    ...topology,
    entries: topology.entries.slice(0, 1),
    entryUrls: topology.entryUrls.slice(0, 1),
  };
}

async function startFleet(fleet: Fleet, topology: Topology): Promise<void> {
  fleet.startStandIns(topology);
  await waitReady(`${topology.tableUrl}/healthz`);
  const change = {
    organisations: { organisations: [organisationRow(ORGANISATION)] },
    use: {
      plans: [{
        name: ORGANISATION.plan,
        weight: 1,
        maxConcurrent: 10_000,
        pipelines: [GENERATE.name],
      }],
      pipelines: [GENERATE],
    },
  };
  const table = new HttpTable(topology.tableUrl);
  (await changeLists(table, EMPTY_LISTS, change))._unsafeUnwrap();
  fleet.startSystem(topology);
  await Promise.all(
    [...topology.agents, ...topology.entries].map(({ control }) =>
      waitReady(`http://${control.address}:${control.port}/readyz`)
    ),
  );
}

function loadOf(
  topology: Topology,
  seed: number,
  durationS: number,
): LoadSettings {
  return {
    entryUrls: [...topology.entryUrls],
    organisations: [{
      id: ORGANISATION.id,
      key: organisationKey(ORGANISATION.id),
      weight: 1,
    }],
    mix: [{
      pipeline: GENERATE.name,
      weight: 1,
      deadlineMs: GENERATE.deadlineMs,
      files: false,
    }],
    ratePerS: NODE_RATE_PER_S,
    durationS,
    seed,
    streaming: true,
  };
}

/** Runs direct streams and streams through the system in alternation. */
async function compareStreams(topology: Topology) {
  const dispatcher = new Agent();
  const direct: StreamTimes[] = [];
  const through: StreamTimes[] = [];
  const runLane = async (lane: number) => {
    for (let i = lane; i < PAIRS; i += CONCURRENT_PAIRS) {
      const input = { marker: `m0-${i}`, text: "Text" };
      direct.push(await streamDirect(topology, input, dispatcher));
      through.push(await streamThrough(topology, input, dispatcher));
    }
  };
  await Promise.all(
    Array.from({ length: CONCURRENT_PAIRS }, (_, lane) => runLane(lane)),
  );
  await dispatcher.destroy();
  const first = (all: readonly StreamTimes[]) =>
    summaryOf(all.map(({ firstMs }) => firstMs));
  const gaps = (all: readonly StreamTimes[]) =>
    summaryOf(all.flatMap(({ gapsMs }) => gapsMs));
  const added = (a: DurationSummary, b: DurationSummary) => ({
    p50_ms: round(a.p50Ms - b.p50Ms),
    p95_ms: round(a.p95Ms - b.p95Ms),
  });
  return {
    first_token: {
      direct: first(direct),
      through: first(through),
      added: added(first(through), first(direct)),
    },
    between_tokens: {
      direct: gaps(direct),
      through: gaps(through),
      added: added(gaps(through), gaps(direct)),
    },
  };
}

async function streamDirect(
  topology: Topology,
  input: object,
  dispatcher: Agent,
): Promise<StreamTimes> {
  const url = topology.agents[0]?.target.url ?? "";
  const prompt = promptOf({
    pipeline: GENERATE.name,
    stage: GENERATE.name,
    input: { request: input, previous: null },
  });
  return await timeStream(`${url}/v1/completions`, {
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ prompt, max_tokens: TOKENS, stream: true }),
    dispatcher,
  });
}

async function streamThrough(
  topology: Topology,
  input: object,
  dispatcher: Agent,
): Promise<StreamTimes> {
  const [url] = topology.entryUrls;
  return await timeStream(`${url}/v1/pipelines/${GENERATE.name}`, {
    headers: {
      "content-type": "application/json",
      "accept": "text/event-stream",
      "authorization": `Bearer ${organisationKey(ORGANISATION.id)}`,
    },
    body: JSON.stringify({ input }),
    dispatcher,
  });
}

async function timeStream(
  url: string,
  opts: {
    headers: Record<string, string>;
    body: string;
    dispatcher: Agent;
  },
): Promise<StreamTimes> {
  const startedAt = monotonicMs();
  const res = await request(url, { method: "POST", ...opts });
  const textTimes: number[] = [];
  for await (const data of readSse(res.body)) {
    if (data.includes('"text":"')) textTimes.push(monotonicMs());
  }
  // The last event of a stream through the system repeats the whole text.
  const tokenTimes = textTimes.slice(0, TOKENS);
  return {
    firstMs: (tokenTimes[0] ?? Infinity) - startedAt,
    gapsMs: tokenTimes.slice(1).map((time, i) =>
      time - (tokenTimes[i] as number)
    ),
  };
}

/** Measures the processor time of the processes under the load of one node. */
async function measureCpuCost(fleet: Fleet, topology: Topology, seed: number) {
  const roles = { entry: fleet.names("entry-"), agents: fleet.names("agent-") };
  const cpuSeconds = (names: readonly string[]) =>
    names.reduce((sum, name) => sum + cpuSecondsOf(fleet.pid(name)), 0);
  const before = {
    entry: cpuSeconds(roles.entry),
    agents: cpuSeconds(roles.agents),
  };
  const startedAt = monotonicMs();
  const outcomes = await runLoad(loadOf(topology, seed, LOAD_S));
  const seconds = (monotonicMs() - startedAt) / MS_PER_S;
  await sleep(MS_PER_S);
  const usedSeconds = {
    entry: cpuSeconds(roles.entry) - before.entry,
    agents: cpuSeconds(roles.agents) - before.agents,
  };
  const report = summarise(outcomes);
  const tokens = Object.values(report.costByStage)
    .reduce((sum, cost) => sum + cost.tokens, 0);
  const tokensPerCoreS = tokens / usedSeconds.entry;
  return {
    load: {
      requests: report.requests,
      attainment: report.attainment,
      tokens_per_s: Math.round(tokens / seconds),
      first_text: report.firstText,
      text_gap: report.textGap,
      reasons: report.reasons,
    },
    entry_cpu_us_per_token: round(usedSeconds.entry / tokens * 1e6),
    agent_cpu_us_per_token: round(usedSeconds.agents / tokens * 1e6),
    entry_tokens_per_core_s: Math.round(tokensPerCoreS),
    headroom: round(tokensPerCoreS / NODE_TOKENS_PER_S),
  };
}

function summaryOf(values: readonly number[]): DurationSummary {
  const durations = new DurationHistogram();
  values.forEach((ms) => durations.record(ms));
  return durations.summary();
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
