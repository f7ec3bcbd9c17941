/**
 * Experiment: engines start cold and turn cold again without warning.
 *
 * @module
 */

import { seededRandom, sleep } from "../kernel/mod.ts";
import { ColdStart } from "../standin/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import type { Lab, LabPlan } from "./lab.ts";
import { DRAFT, LAB_PLAN } from "./lab_plan.ts";
import { type LabRun, runLabSide } from "./overload.ts";

const RATE_PER_S = 60;
const DURATION_S = 20;
/** Rests of 3 s between bursts of 1 s. */
const BURSTS = { periodMs: 4_000, part: 0.25 };
const SEEDS = 20;
/** Seeds of the baseline, which overfills engines in each of them. */
const BASELINE_SEEDS = 3;
const TURNS = 12;
const FIRST_TURN_MS = 4_000;
const MEAN_PAUSE_MS = 1_000;

/** How the engines of one row tell of their cold start. */
interface Signals {
  readonly name: string;
  readonly inHand: ColdStart;
  readonly marksCold: number;
  readonly loadLagMs: number;
  /** Rate of the requests, which come in bursts with rests between. */
  readonly burstsPerS?: number;
}

/** Older than any report that a run reads: no report. */
const NO_REPORT_MS = 1_000_000;

const ROWS: readonly Signals[] = [
  {
    name: "restart",
    inHand: ColdStart.Cut,
    marksCold: 1,
    loadLagMs: 400,
  },
  {
    name: "restart, no mark on answers, report lags 3 s",
    inHand: ColdStart.Cut,
    marksCold: 0,
    loadLagMs: 3_000,
  },
  {
    name: "restart, no mark and no report",
    inHand: ColdStart.Cut,
    marksCold: 0,
    loadLagMs: NO_REPORT_MS,
  },
  {
    name: "restart at rest, with mark",
    inHand: ColdStart.Cut,
    marksCold: 1,
    loadLagMs: 400,
    burstsPerS: 20,
  },
  {
    name: "restart at rest, no mark on answers, report lags 3 s",
    inHand: ColdStart.Cut,
    marksCold: 0,
    loadLagMs: 3_000,
    burstsPerS: 20,
  },
  {
    name: "restart at rest, no mark and no report",
    inHand: ColdStart.Cut,
    marksCold: 0,
    loadLagMs: NO_REPORT_MS,
    burstsPerS: 20,
  },
  {
    name: "work in hand goes on, with mark",
    inHand: ColdStart.Keep,
    marksCold: 1,
    loadLagMs: 400,
  },
];

/** Overfills of cold engines, by what the engines tell, over several seeds. */
export const coldStart: Experiment = {
  name: "cold-start",
  summary: "most completions at a cold engine against what it bears",
  async run({ seed }): Promise<ExperimentReport> {
    const rows = [];
    let first: { policy: LabRun; baseline: LabRun } | undefined;
    for (const signals of ROWS) {
      const policy = await runSeeds(signals, { seed, policy: true });
      const baseline = await runSeeds(signals, { seed, policy: false });
      rows.push({
        engines: signals.name,
        policy: coldFigures(policy),
        baseline: coldFigures(baseline),
      });
      first ??= {
        policy: policy[0] as LabRun,
        baseline: baseline[0] as LabRun,
      };
    }
    return {
      experiment: "cold-start",
      seed,
      policy: first?.policy.side,
      baseline: first?.baseline.side,
      rows,
    };
  },
};

async function runSeeds(
  signals: Signals,
  opts: { seed: number; policy: boolean },
): Promise<readonly LabRun[]> {
  const { marksCold, loadLagMs, burstsPerS } = signals;
  const engine = { ...LAB_PLAN.engine, marksCold, loadLagMs };
  const plan: LabPlan = { ...LAB_PLAN, engine };
  const runs: LabRun[] = [];
  const seeds = opts.policy ? SEEDS : BASELINE_SEEDS;
  for (let i = 0; i < seeds; i += 1) {
    const seed = opts.seed + i;
    runs.push(
      await runLabSide({
        plan,
        seed,
        policy: opts.policy,
        load: {
          ratePerS: burstsPerS ?? RATE_PER_S,
          bursts: burstsPerS === undefined ? undefined : BURSTS,
          durationS: DURATION_S,
          organisations: [{ id: "c", weight: 1, plan: "standard" }],
          mix: [{ pipeline: DRAFT.name, weight: 1 }],
        },
        during: (lab) => turnCold(lab, { seed, inHand: signals.inHand }),
      }),
    );
  }
  return runs;
}

/** Turns engines cold at random times. */
async function turnCold(
  lab: Lab,
  { seed, inHand }: { seed: number; inHand: ColdStart },
): Promise<void> {
  const random = seededRandom(seed);
  await sleep(FIRST_TURN_MS);
  for (let i = 0; i < TURNS; i += 1) {
    await sleep(random() * 2 * MEAN_PAUSE_MS);
    const at = Math.floor(random() * lab.engines.length);
    lab.engines[at]?.turnCold(inHand);
  }
}

function coldFigures(runs: readonly LabRun[]) {
  const engines = runs.flatMap(({ lab }) => lab.engines);
  const sum = (numbers: readonly number[]) =>
    numbers.reduce((all, one) => all + one, 0);
  return {
    seeds: runs.length,
    bears: engines[0]?.config.coldBears ?? 0,
    cold_peak: Math.max(...engines.map(({ counts }) => counts.coldPeak)),
    overfills: sum(engines.map(({ counts }) => counts.overfills)),
    falls: sum(engines.map(({ counts }) => counts.falls)),
    seeds_with_overfill:
      runs.filter(({ lab }) =>
        lab.engines.some(({ counts }) => counts.overfills > 0)
      ).length,
    attainment: sum(runs.map(({ side }) => side.attainment)) / runs.length,
  };
}
