/**
 * Runs the policy of this project and the baseline under the same load, one
 * after the other, each against newly started stand-ins.
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
  ReportedOutcome,
  runLoad,
  summarise,
} from "../load/mod.ts";
import type { VariantFigures } from "./experiment.ts";
import { startBaselineVariant } from "./baseline_variant.ts";
import { type PolicyVariant, startPolicyVariant } from "./policy_variant.ts";
import { organisationKey } from "./workload.ts";
import { Testbed, type TestbedPlan } from "./testbed.ts";

/** Names of the two variants. */
export const VariantName = { Policy: "policy", Baseline: "baseline" } as const;
export type VariantName = typeof VariantName[keyof typeof VariantName];

/** Entries of a variant that accept requests. */
export interface ServedVariant {
  readonly entryUrls: readonly string[];
  stop(): Promise<void>;
}

/** A variant while its load runs. */
export interface RunningVariant {
  readonly name: VariantName;
  readonly testbed: Testbed;
  readonly served: ServedVariant;
  /** Present for the policy variant. */
  readonly policy?: PolicyVariant;
}

/** Load settings of an experiment, without the ones set for each variant. */
export type VariantLoad = Omit<LoadSettings, "entryUrls" | "seed">;

/** Testbed and load on which both variants run. */
export interface ComparisonPlan {
  readonly plan: TestbedPlan;
  readonly load: VariantLoad;
  /**
   * Runs concurrently with the load, from its start: injects faults, changes
   * the lists or takes samples.
   */
  readonly during?: (variant: RunningVariant) => Promise<void>;
  /** Load that runs before the measured one, so that no target is cold. */
  readonly warmUp?: VariantLoad;
}

/** Results of one variant. */
export interface VariantRun {
  readonly figures: VariantFigures;
  readonly report: LoadReport;
  readonly outcomes: readonly Outcome[];
  readonly audit: Audit;
  readonly running: RunningVariant;
}

/** Delay between stopping the stand-ins and the next variant, in ms. */
const SETTLE_MS = 200;

/** Runs both variants with the same seed. */
export async function runVariants(
  plan: ComparisonPlan,
  opts: { seed: number },
): Promise<{ policy: VariantRun; baseline: VariantRun }> {
  const policy = await runVariant(VariantName.Policy, { ...opts, ...plan });
  const baseline = await runVariant(VariantName.Baseline, { ...opts, ...plan });
  return { policy, baseline };
}

/** Runs one variant. */
export async function runVariant(
  name: VariantName,
  opts: ComparisonPlan & { seed: number },
): Promise<VariantRun> {
  const testbed = await Testbed.start(opts.plan, opts);
  const policy = name === VariantName.Policy
    ? await startPolicyVariant(testbed)
    : undefined;
  const served = policy ?? await startBaselineVariant(testbed);
  const running = { name, testbed, served, policy };
  if (opts.warmUp) await runLoad(loadOf(running, opts.warmUp, opts.seed + 1));
  const workBeforeMs = completedWorkMs(testbed);
  const [outcomes] = await Promise.all([
    runLoad(loadOf(running, opts.load, opts.seed)),
    opts.during?.(running),
  ]);
  const workMs = completedWorkMs(testbed) - workBeforeMs;
  await served.stop();
  testbed.stop();
  await wait(SETTLE_MS);
  const report = summarise(outcomes);
  return {
    figures: figuresOf(
      report,
      1 - usefulWorkMs(testbed, outcomes) / Math.max(1, workMs),
    ),
    report,
    outcomes,
    audit: audit(outcomes, filingsOf(testbed)),
    running,
  };
}

/** Returns the settings of a load run against a variant. */
export function loadOf(
  { served }: RunningVariant,
  load: VariantLoad,
  seed: number,
): LoadSettings {
  return { ...load, entryUrls: [...served.entryUrls], seed };
}

/** Returns the organisations of a plan in the format of the load tool. */
export function loadOrganisations(
  plan: TestbedPlan,
  weights: Readonly<Record<string, number>> = {},
): LoadSettings["organisations"] {
  return plan.organisations.map(({ id }) => ({
    id,
    key: organisationKey(id),
    weight: weights[id] ?? 1,
  }));
}

/**
 * Returns the share of the requests scheduled in a time span that completed
 * within their deadline.
 */
export function attainmentBetween(
  outcomes: readonly Outcome[],
  { fromMs, toMs }: { fromMs: number; toMs: number },
): number {
  const planned = outcomes.filter(({ arrival }) =>
    arrival.atMs >= fromMs && arrival.atMs < toMs
  );
  return round(
    planned.filter(isWithinDeadline).length / Math.max(1, planned.length),
  );
}

function isWithinDeadline({ reported, latencyMs, arrival }: Outcome): boolean {
  return reported === ReportedOutcome.Done &&
    latencyMs <= arrival.workload.deadlineMs;
}

function figuresOf(report: LoadReport, wastedRatio: number): VariantFigures {
  const costs = Object.entries(report.costByStage)
    .map(([stage, { meanServiceMs }]) => [stage, round(meanServiceMs)]);
  return {
    attainment: round(report.attainment),
    p50_ms: round(report.latency.p50Ms),
    p95_ms: round(report.latency.p95Ms),
    refused: report.refused,
    wasted_ratio: round(Math.max(0, wastedRatio)),
    cost_by_stage: Object.fromEntries(costs),
  };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/**
 * Returns the work that the targets have done so far, as the milliseconds that
 * it takes on targets without load.
 */
function completedWorkMs(testbed: Testbed): number {
  return testbed.targets.reduce(
    (sum, { engine, simulatedService }) => {
      const tokensMs = engine ? engine.counts.tokens * engine.config.stepMs : 0;
      const callsMs = simulatedService
        ? simulatedService.calls * simulatedService.config.callMs
        : 0;
      return sum + tokensMs + callsMs;
    },
    0,
  );
}

/**
 * Returns the work whose result reached a caller within the deadline, as the
 * milliseconds that it takes on targets without load.
 */
function usefulWorkMs(testbed: Testbed, outcomes: readonly Outcome[]): number {
  const tokenMs = testbed.targets
    .find(({ engine }) => engine)?.engine?.config.stepMs ?? 0;
  const callMs = testbed.targets
    .find(({ simulatedService }) => simulatedService)
    ?.simulatedService?.config.callMs ?? 0;
  return outcomes
    .filter(isWithinDeadline)
    .flatMap(({ stages }) => stages)
    .reduce(
      (sum, { tokens }) => sum + (tokens > 0 ? tokens * tokenMs : callMs),
      0,
    );
}

function filingsOf(testbed: Testbed) {
  return testbed.targets.flatMap(({ simulatedService }) =>
    simulatedService?.filings ?? []
  );
}
