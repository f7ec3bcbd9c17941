/**
 * Drives load at one side of a lab and sums up what became of it.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Runner } from "../entry/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { type Arrival, planArrivals } from "../load/mod.ts";
import {
  type PipelineSpec,
  type Plan,
  Proof,
  type StageResult,
  type UseList,
} from "../model/mod.ts";
import { Durations } from "../telemetry/mod.ts";
import type { Side } from "./experiment.ts";
import type { Lab } from "./lab.ts";
import { RoundRobin } from "./round_robin.ts";

/** Load at a lab. */
export interface LabLoad {
  readonly ratePerS: number;
  readonly durationS: number;
  /** Requests come in bursts: all of a period within a part of it. */
  readonly bursts?: { readonly periodMs: number; readonly part: number };
  /** Organisations with their share of the requests and their plans. */
  readonly organisations: readonly {
    readonly id: string;
    readonly weight: number;
    readonly plan: string;
  }[];
  readonly mix: readonly {
    readonly pipeline: string;
    readonly weight: number;
  }[];
}

/** What became of one request. */
export interface LabOutcome {
  readonly arrival: Arrival;
  readonly inTime: boolean;
  readonly refused: boolean;
  readonly latencyMs: number;
  /** Time after the start of the load, in milliseconds. */
  readonly endedAtMs: number;
  readonly results: readonly StageResult[];
}

/** A request as a side gets it. */
export interface LabRequest {
  readonly arrival: Arrival;
  readonly spec: PipelineSpec;
  readonly plan: Plan;
  readonly deadlineAt: number;
}

/** Answer of a side. */
export interface LabAnswer {
  /** Absent when the request failed. */
  readonly results?: readonly StageResult[];
  readonly refused: boolean;
}

/** One side: it runs requests. */
export type LabServe = (req: LabRequest, i: number) => Promise<LabAnswer>;

/** The project's entries, taken in turn. */
export function serveByEntries(runners: readonly Runner[]): LabServe {
  return async ({ arrival, spec, plan, deadlineAt }, i) => {
    const runner = runners[i % runners.length] as Runner;
    const outcome = await runner.run({
      requestId: randomUUID(),
      organisation: {
        id: arrival.organisation.id,
        plan: plan.name,
        keySha256: "",
      },
      plan,
      spec,
      key: arrival.key,
      keyGiven: false,
      input: { marker: arrival.marker },
      listsVersion: 1,
      deadlineAt,
      signal: new AbortController().signal,
    });
    return outcome.match(
      (results): LabAnswer => ({ results, refused: false }),
      ({ proof }): LabAnswer => ({ refused: proof === Proof.NotRun }),
    );
  };
}

/** The baseline: round robin, no gate, plain retries. */
export function serveByRoundRobin(lab: Lab): LabServe {
  const side = new RoundRobin(lab);
  return (req) => side.run(req);
}

/** Drives the load open-loop and gives every outcome. */
export async function driveLab(
  load: LabLoad,
  opts: { seed: number; use: UseList; serve: LabServe },
): Promise<readonly LabOutcome[]> {
  const arrivals = planArrivals({
    entryUrls: [],
    organisations: load.organisations.map(({ id, weight }) => ({
      id,
      key: "",
      weight,
    })),
    mix: load.mix.map((one) => ({ ...one, deadlineMs: 0, files: false })),
    ratePerS: load.ratePerS,
    durationS: load.durationS,
    seed: opts.seed,
  });
  const startedAt = monotonicMs();
  const planOf = new Map(load.organisations.map(({ id, plan }) => [id, plan]));
  return await Promise.all(arrivals.map(async (arrival, i) => {
    await sleep(burstAt(arrival.atMs, load));
    const spec = opts.use.pipelines
      .find(({ name }) => name === arrival.work.pipeline) as PipelineSpec;
    const plan = opts.use.plans
      .find(({ name }) => name === planOf.get(arrival.organisation.id)) as Plan;
    const begunAt = monotonicMs();
    const deadlineAt = begunAt + spec.deadlineMs;
    const answer = await opts.serve({ arrival, spec, plan, deadlineAt }, i);
    const latencyMs = monotonicMs() - begunAt;
    return {
      arrival,
      inTime: answer.results !== undefined && latencyMs <= spec.deadlineMs,
      refused: answer.refused,
      latencyMs,
      endedAtMs: monotonicMs() - startedAt,
      results: answer.results ?? [],
    };
  }));
}

function burstAt(atMs: number, { bursts }: LabLoad): number {
  if (!bursts) return atMs;
  const sinceMs = atMs % bursts.periodMs;
  return atMs - sinceMs + sinceMs * bursts.part;
}

/** Share of the outcomes that were in time. */
export function attainmentOf(outcomes: readonly LabOutcome[]): number {
  const inTime = outcomes.filter((one) => one.inTime).length;
  return round(inTime / Math.max(1, outcomes.length));
}

/** Figures of a side. */
export function labSide(lab: Lab, outcomes: readonly LabOutcome[]): Side {
  const latency = new Durations();
  outcomes.filter(({ results }) => results.length > 0)
    .forEach(({ latencyMs }) => latency.record(latencyMs));
  const generated = lab.engines
    .reduce((sum, { counts }) => sum + counts.tokens, 0);
  const useful = outcomes.filter(({ inTime }) => inTime)
    .flatMap(({ results }) => results)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    attainment: attainmentOf(outcomes),
    p50_ms: round(latency.quantile(0.5)),
    p95_ms: round(latency.quantile(0.95)),
    refused: outcomes.filter(({ refused }) => refused).length,
    wasted_ratio: round(1 - useful / Math.max(1, generated)),
    cost_by_stage: costsOf(outcomes),
  };
}

/** Rounded to four places. */
export function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function costsOf(outcomes: readonly LabOutcome[]): Record<string, number> {
  const times = new Map<string, number[]>();
  outcomes.forEach(({ arrival, results }) =>
    results.forEach(({ stage, serviceMs }) => {
      const name = `${arrival.work.pipeline}/${stage}`;
      times.set(name, [...(times.get(name) ?? []), serviceMs]);
    })
  );
  const mean = (all: readonly number[]) =>
    all.reduce((sum, ms) => sum + ms, 0) / all.length;
  return Object.fromEntries(
    [...times].map(([name, all]) => [name, round(mean(all))]),
  );
}
