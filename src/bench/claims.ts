/**
 * Experiment: filings per second that the table service sustains when each
 * claim is a write of its own, and when the claims of an agent share
 * transactions.
 *
 * @module
 */

import { ok } from "neverthrow";
import { ClaimService } from "../agent/mod.ts";
import { type Claim, CLAIM_PREFIX, ClaimState } from "../ledger/mod.ts";
import { monotonicMs, seededRandom, sleep } from "../kernel/mod.ts";
import type { StageCall, StageResult } from "../model/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { DurationHistogram } from "../telemetry/mod.ts";
import type { Experiment } from "./experiment.ts";
import { withPausedClock } from "../testing/mod.ts";

/** Limits of the platform's table service in this experiment. */
const TABLE = { writesPerS: 400, latencyMs: 5 };
/** Number of agents of the filing targets in a small and in a large fleet. */
const FEW_AGENTS = 4;
const MANY_AGENTS = 60;
const MAX_GROUP = 64;
const RATES_PER_S = [100, 200, 400, 800, 1_600, 3_200];
const DURATION_S = 5;
const MS_PER_S = 1_000;

/** Figures at one offered rate. */
interface ClaimFigures {
  readonly offered_per_s: number;
  /** Filings per second whose claim and result were both recorded. */
  readonly recorded_per_s: number;
  readonly refused_ratio: number;
  readonly claim_p50_ms: number;
  readonly claim_p95_ms: number;
  /** Transactions sent per second, including the refused ones. */
  readonly writes_per_s: number;
}

/** Compares claims with and without group commit. */
export const claims: Experiment = {
  name: "claims",
  summary: "filings per second with single and with grouped claims",
  run: async ({ seed }) => {
    const few = { seed, agents: FEW_AGENTS };
    const many = { seed, agents: MANY_AGENTS };
    const single = await sweep({ ...few, maxGroupSize: 1 });
    const grouped = await sweep({ ...few, maxGroupSize: MAX_GROUP });
    const manyGrouped = await sweep({ ...many, maxGroupSize: MAX_GROUP });
    return {
      experiment: "claims",
      seed,
      table: TABLE,
      most_recorded_per_s: {
        single: maxRecordedPerS(single),
        grouped: maxRecordedPerS(grouped),
        grouped_many_agents: maxRecordedPerS(manyGrouped),
      },
      single,
      grouped,
      grouped_many_agents: manyGrouped,
    };
  },
};

interface Fleet {
  readonly seed: number;
  readonly agents: number;
  readonly maxGroupSize: number;
}

interface Load extends Fleet {
  readonly ratePerS: number;
}

/** Measures a fleet at each offered rate. */
async function sweep(fleet: Fleet): Promise<readonly ClaimFigures[]> {
  const figures: ClaimFigures[] = [];
  for (const ratePerS of RATES_PER_S) {
    figures.push(await measure({ ...fleet, ratePerS }));
  }
  return figures;
}

function measure(load: Load): Promise<ClaimFigures> {
  return withPausedClock(() => applyLoad(load), load);
}

async function applyLoad(load: Load): Promise<ClaimFigures> {
  const { seed, ratePerS, maxGroupSize } = load;
  const random = seededRandom(seed);
  const table = new MemoryTable(TABLE);
  const agents = Array.from(
    { length: load.agents },
    () => new ClaimService(table, { maxGroupSize }),
  );
  const claimTimes = new DurationHistogram();
  const startedAt = monotonicMs();
  const total = ratePerS * DURATION_S;
  const filings = Array.from({ length: total }, async (_, i) => {
    await sleep(random() * DURATION_S * MS_PER_S);
    const agent = agents[i % agents.length] as ClaimService;
    return await claimAndRecord(agent, { key: `k${i}`, claimTimes });
  });
  const claimed = (await Promise.all(filings)).filter(Boolean).length;
  const seconds = (monotonicMs() - startedAt) / MS_PER_S;
  const recorded = await countDone(table);
  return {
    offered_per_s: ratePerS,
    recorded_per_s: Math.round(recorded / seconds),
    refused_ratio: Number((1 - claimed / total).toFixed(4)),
    claim_p50_ms: claimTimes.quantile(0.5),
    claim_p95_ms: claimTimes.quantile(0.95),
    writes_per_s: Math.round(table.calls.writes / seconds),
  };
}

/** Returns the number of filings whose result is stored in the table. */
async function countDone(table: MemoryTable): Promise<number> {
  const page = await table.scan(CLAIM_PREFIX, { limit: Infinity });
  const rows = page.isOk() ? page.value.rows : [];
  return rows.filter(({ value }) => (value as Claim).state === ClaimState.Done)
    .length;
}

/** Claims a key and records its result; false if the claim is refused. */
async function claimAndRecord(
  agent: ClaimService,
  { key, claimTimes }: { key: string; claimTimes: DurationHistogram },
): Promise<boolean> {
  const requestedAt = monotonicMs();
  const claimed = await agent.claim(callOf(key), key);
  if (claimed.isErr() || claimed.value.kind !== "held") return false;
  claimTimes.record(monotonicMs() - requestedAt);
  await agent.record(claimed.value.held, ok(RESULT));
  return true;
}

const RESULT: StageResult = {
  callId: "r/file/1",
  stage: "file",
  fingerprint: "f",
  target: "t",
  output: { filed: true },
  digest: "d",
  tokens: 0,
  serviceMs: 1,
  queuedMs: 0,
  replayed: false,
};

function callOf(key: string): StageCall {
  return {
    callId: RESULT.callId,
    requestId: "r",
    organisation: "c",
    stage: "file",
    target: "t",
    idempotencyKey: key,
    fingerprint: "f",
    remainingMs: 4_000,
  } as StageCall;
}

function maxRecordedPerS(figures: readonly ClaimFigures[]): number {
  return Math.max(...figures.map(({ recorded_per_s }) => recorded_per_s));
}
