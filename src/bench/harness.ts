/**
 * Runs the project's policy and the plain baseline under the same load, one
 * after the other, each on fresh stand-ins.
 *
 * @module
 */

import { setTimeout as wait } from "node:timers/promises";
import {
  type Audit,
  audit,
  type LoadReport,
  type LoadSettings,
  type Outcome,
  runLoad,
  summarise,
  Told,
} from "../load/mod.ts";
import type { Side } from "./experiment.ts";
import { startBaselineSide } from "./baseline_side.ts";
import { type PolicySide, startPolicySide } from "./policy_side.ts";
import { keyOfOrganisation } from "./workload.ts";
import { World, type WorldPlan } from "./world.ts";

/** Names of the two sides. */
export const SideName = { Policy: "policy", Baseline: "baseline" } as const;
export type SideName = typeof SideName[keyof typeof SideName];

/** Entries that take requests. */
export interface ServedSide {
  readonly entryUrls: readonly string[];
  stop(): Promise<void>;
}

/** A side while its load runs. */
export interface RunningSide {
  readonly name: SideName;
  readonly world: World;
  readonly served: ServedSide;
  /** Present on the policy side. */
  readonly policy?: PolicySide;
}

/** Load of an experiment. */
export type SideLoad = Omit<LoadSettings, "entryUrls" | "seed">;

/** What an experiment runs. */
export interface SidesPlan {
  readonly plan: WorldPlan;
  readonly load: SideLoad;
  /** Runs beside the load, from its start: faults, orders, observations. */
  readonly during?: (side: RunningSide) => Promise<void>;
  /** Load before the measured one, so that no target is cold. */
  readonly warmUp?: SideLoad;
}

/** What one side gave. */
export interface SideRun {
  readonly side: Side;
  readonly report: LoadReport;
  readonly outcomes: readonly Outcome[];
  readonly audit: Audit;
  readonly running: RunningSide;
}

/** Time that stopped stand-ins get before the next side starts, in ms. */
const SETTLE_MS = 200;

/** Runs both sides with the same seed. */
export async function runSides(
  plan: SidesPlan,
  opts: { seed: number },
): Promise<{ policy: SideRun; baseline: SideRun }> {
  const policy = await runSide(SideName.Policy, { ...opts, ...plan });
  const baseline = await runSide(SideName.Baseline, { ...opts, ...plan });
  return { policy, baseline };
}

/** Runs one side. */
export async function runSide(
  name: SideName,
  opts: SidesPlan & { seed: number },
): Promise<SideRun> {
  const world = await World.start(opts.plan, opts);
  const policy = name === SideName.Policy
    ? await startPolicySide(world)
    : undefined;
  const served = policy ?? await startBaselineSide(world);
  const running = { name, world, served, policy };
  if (opts.warmUp) await runLoad(loadOf(running, opts.warmUp, opts.seed + 1));
  const before = workOf(world);
  const [outcomes] = await Promise.all([
    runLoad(loadOf(running, opts.load, opts.seed)),
    opts.during?.(running),
  ]);
  const work = workOf(world) - before;
  await served.stop();
  world.stop();
  await wait(SETTLE_MS);
  const report = summarise(outcomes);
  return {
    side: sideOf(report, 1 - usefulWork(world, outcomes) / Math.max(1, work)),
    report,
    outcomes,
    audit: audit(outcomes, filingsOf(world)),
    running,
  };
}

/** Settings of a load run against a side. */
export function loadOf(
  { served }: RunningSide,
  load: SideLoad,
  seed: number,
): LoadSettings {
  return { ...load, entryUrls: [...served.entryUrls], seed };
}

/** Organisations of a plan in the form of the load tool. */
export function loadOrganisations(
  plan: WorldPlan,
  weights: Readonly<Record<string, number>> = {},
): LoadSettings["organisations"] {
  return plan.organisations.map(({ id }) => ({
    id,
    key: keyOfOrganisation(id),
    weight: weights[id] ?? 1,
  }));
}

/** Share of the requests planned in a span that were done in time. */
export function attainmentBetween(
  outcomes: readonly Outcome[],
  { fromMs, toMs }: { fromMs: number; toMs: number },
): number {
  const planned = outcomes.filter(({ arrival }) =>
    arrival.atMs >= fromMs && arrival.atMs < toMs
  );
  return round(planned.filter(isInTime).length / Math.max(1, planned.length));
}

function isInTime({ told, latencyMs, arrival }: Outcome): boolean {
  return told === Told.Done && latencyMs <= arrival.work.deadlineMs;
}

function sideOf(report: LoadReport, wasted: number): Side {
  const costs = Object.entries(report.costByStage)
    .map(([stage, { meanServiceMs }]) => [stage, round(meanServiceMs)]);
  return {
    attainment: round(report.attainment),
    p50_ms: round(report.latency.p50Ms),
    p95_ms: round(report.latency.p95Ms),
    refused: report.refused,
    wasted_ratio: round(Math.max(0, wasted)),
    cost_by_stage: Object.fromEntries(costs),
  };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/** Unloaded milliseconds of the work that the targets did so far. */
function workOf(world: World): number {
  return world.targets.reduce((sum, { engine, plain }) => {
    const tokens = engine ? engine.counts.tokens * engine.config.stepMs : 0;
    const calls = plain ? plain.calls * plain.config.callMs : 0;
    return sum + tokens + calls;
  }, 0);
}

/** Unloaded milliseconds of the work that reached a caller in time. */
function usefulWork(world: World, outcomes: readonly Outcome[]): number {
  const engineMs = world.targets
    .find(({ engine }) => engine)?.engine?.config.stepMs ?? 0;
  const callMs = world.targets
    .find(({ plain }) => plain)?.plain?.config.callMs ?? 0;
  return outcomes
    .filter(isInTime)
    .flatMap(({ stages }) => stages)
    .reduce(
      (sum, { tokens }) => sum + (tokens > 0 ? tokens * engineMs : callMs),
      0,
    );
}

function filingsOf(world: World) {
  return world.targets.flatMap(({ plain }) => plain?.filings ?? []);
}
