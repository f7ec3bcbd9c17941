/**
 * Runs a load against one variant in a simulation and summarises the outcomes.
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
import { DurationHistogram } from "../telemetry/mod.ts";
import type { VariantFigures } from "./experiment.ts";
import type { Simulation } from "./simulation.ts";
import { RoundRobin } from "./round_robin.ts";

/** Load on a simulation. */
export interface SimulationLoad {
  readonly ratePerS: number;
  readonly durationS: number;
  /** Bursts: the requests of each period arrive within a part of it. */
  readonly bursts?: { readonly periodMs: number; readonly part: number };
  /** Organisations with their weight among the requests and their plans. */
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

/** Outcome of one request. */
export interface SimulationOutcome {
  readonly arrival: Arrival;
  readonly withinDeadline: boolean;
  readonly refused: boolean;
  readonly latencyMs: number;
  /** Time since the start of the load, in milliseconds. */
  readonly endedAtMs: number;
  readonly results: readonly StageResult[];
}

/** A request as a variant receives it. */
export interface SimulationRequest {
  readonly arrival: Arrival;
  readonly spec: PipelineSpec;
  readonly plan: Plan;
  readonly deadlineAt: number;
}

/** Response of a variant to a request. */
export interface SimulationResponse {
  /** Absent when the request failed. */
  readonly results?: readonly StageResult[];
  readonly refused: boolean;
}

/** Function of a variant that runs requests. */
export type RequestHandler = (
  req: SimulationRequest,
  i: number,
) => Promise<SimulationResponse>;

/** Distributes requests over the entries of this project in turn. */
export function serveByEntries(runners: readonly Runner[]): RequestHandler {
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
      (results): SimulationResponse => ({ results, refused: false }),
      ({ proof }): SimulationResponse => ({ refused: proof === Proof.NotRun }),
    );
  };
}

/** Runs requests by the baseline {@linkcode RoundRobin}. */
export function serveByRoundRobin(simulation: Simulation): RequestHandler {
  const roundRobin = new RoundRobin(simulation);
  return (req) => roundRobin.run(req);
}

/** Runs an open-loop load and returns every outcome. */
export async function runSimulationLoad(
  load: SimulationLoad,
  opts: { seed: number; use: UseList; serve: RequestHandler },
): Promise<readonly SimulationOutcome[]> {
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
    await sleep(burstArrivalMs(arrival.atMs, load));
    const spec = opts.use.pipelines
      .find(({ name }) => name === arrival.workload.pipeline) as PipelineSpec;
    const plan = opts.use.plans
      .find(({ name }) => name === planOf.get(arrival.organisation.id)) as Plan;
    const requestedAt = monotonicMs();
    const deadlineAt = requestedAt + spec.deadlineMs;
    const response = await opts.serve({ arrival, spec, plan, deadlineAt }, i);
    const latencyMs = monotonicMs() - requestedAt;
    return {
      arrival,
      withinDeadline: response.results !== undefined &&
        latencyMs <= spec.deadlineMs,
      refused: response.refused,
      latencyMs,
      endedAtMs: monotonicMs() - startedAt,
      results: response.results ?? [],
    };
  }));
}

function burstArrivalMs(atMs: number, { bursts }: SimulationLoad): number {
  if (!bursts) return atMs;
  const sincePeriodStartMs = atMs % bursts.periodMs;
  return atMs - sincePeriodStartMs + sincePeriodStartMs * bursts.part;
}

/** Returns the share of the requests completed within their deadline. */
export function attainmentOf(outcomes: readonly SimulationOutcome[]): number {
  const withinDeadline = outcomes.filter((one) => one.withinDeadline).length;
  return round(withinDeadline / Math.max(1, outcomes.length));
}

/** Returns the figures of a variant. */
export function figuresOf(
  simulation: Simulation,
  outcomes: readonly SimulationOutcome[],
): VariantFigures {
  const latency = new DurationHistogram();
  outcomes.filter(({ results }) => results.length > 0)
    .forEach(({ latencyMs }) => latency.record(latencyMs));
  const generatedTokens = simulation.engines
    .reduce((sum, { counts }) => sum + counts.tokens, 0);
  const usefulTokens = outcomes.filter(({ withinDeadline }) => withinDeadline)
    .flatMap(({ results }) => results)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  return {
    attainment: attainmentOf(outcomes),
    p50_ms: round(latency.quantile(0.5)),
    p95_ms: round(latency.quantile(0.95)),
    refused: outcomes.filter(({ refused }) => refused).length,
    wasted_ratio: round(1 - usefulTokens / Math.max(1, generatedTokens)),
    cost_by_stage: costsOf(outcomes),
  };
}

/** Rounds to four decimal places. */
export function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

function costsOf(
  outcomes: readonly SimulationOutcome[],
): Record<string, number> {
  const timesByStage = new Map<string, number[]>();
  outcomes.forEach(({ arrival, results }) =>
    results.forEach(({ stage, serviceMs }) => {
      const name = `${arrival.workload.pipeline}/${stage}`;
      timesByStage.set(name, [...(timesByStage.get(name) ?? []), serviceMs]);
    })
  );
  const mean = (all: readonly number[]) =>
    all.reduce((sum, ms) => sum + ms, 0) / all.length;
  return Object.fromEntries(
    [...timesByStage].map(([name, all]) => [name, round(mean(all))]),
  );
}
