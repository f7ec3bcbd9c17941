/**
 * Experiment: engines start cold and become cold again without notice.
 *
 * @module
 */

import { seededRandom, sleep } from "../kernel/mod.ts";
import { ColdStartMode } from "../standin/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import type { Simulation, SimulationPlan } from "./simulation.ts";
import { DRAFT, SIMULATION_PLAN } from "./simulation_plan.ts";
import { runSimulation, type SimulationRun } from "./overload.ts";

const RATE_PER_S = 60;
const DURATION_S = 20;
/** Bursts of 1 s with pauses of 3 s between them. */
const BURSTS = { periodMs: 4_000, part: 0.25 };
const SEEDS = 20;
/** Number of seeds of the baseline, which overfills engines in each of them. */
const BASELINE_SEEDS = 3;
const COLD_STARTS = 12;
const FIRST_COLD_START_MS = 4_000;
const MEAN_PAUSE_MS = 1_000;

/** How the engines of one row signal a cold start. */
interface ColdStartSignals {
  readonly name: string;
  readonly inHand: ColdStartMode;
  readonly marksCold: number;
  readonly loadLagMs: number;
  /** Mean rate of requests that arrive in bursts; absent for a steady rate. */
  readonly burstRatePerS?: number;
}

/** Lag longer than any run, so that no load report becomes readable. */
const NO_REPORT_MS = 1_000_000;

const ROWS: readonly ColdStartSignals[] = [
  {
    name: "restart",
    inHand: ColdStartMode.Cut,
    marksCold: 1,
    loadLagMs: 400,
  },
  {
    name: "restart, no mark on answers, report lags 3 s",
    inHand: ColdStartMode.Cut,
    marksCold: 0,
    loadLagMs: 3_000,
  },
  {
    name: "restart, no mark and no report",
    inHand: ColdStartMode.Cut,
    marksCold: 0,
    loadLagMs: NO_REPORT_MS,
  },
  {
    name: "restart at rest, with mark",
    inHand: ColdStartMode.Cut,
    marksCold: 1,
    loadLagMs: 400,
    burstRatePerS: 20,
  },
  {
    name: "restart at rest, no mark on answers, report lags 3 s",
    inHand: ColdStartMode.Cut,
    marksCold: 0,
    loadLagMs: 3_000,
    burstRatePerS: 20,
  },
  {
    name: "restart at rest, no mark and no report",
    inHand: ColdStartMode.Cut,
    marksCold: 0,
    loadLagMs: NO_REPORT_MS,
    burstRatePerS: 20,
  },
  {
    name: "work in hand goes on, with mark",
    inHand: ColdStartMode.Keep,
    marksCold: 1,
    loadLagMs: 400,
  },
];

/** Counts overfilled cold engines by cold-start signals, over several seeds. */
export const coldStart: Experiment = {
  name: "cold-start",
  summary: "peak completions at a cold engine against the number it can handle",
  async run({ seed }): Promise<ExperimentReport> {
    const rows = [];
    let first: { policy: SimulationRun; baseline: SimulationRun } | undefined;
    for (const signals of ROWS) {
      const policy = await runSeeds(signals, { seed, policy: true });
      const baseline = await runSeeds(signals, { seed, policy: false });
      rows.push({
        engines: signals.name,
        policy: coldFigures(policy),
        baseline: coldFigures(baseline),
      });
      first ??= {
        policy: policy[0] as SimulationRun,
        baseline: baseline[0] as SimulationRun,
      };
    }
    return {
      experiment: "cold-start",
      seed,
      policy: first?.policy.figures,
      baseline: first?.baseline.figures,
      rows,
    };
  },
};

async function runSeeds(
  signals: ColdStartSignals,
  opts: { seed: number; policy: boolean },
): Promise<readonly SimulationRun[]> {
  const { marksCold, loadLagMs, burstRatePerS } = signals;
  const engine = { ...SIMULATION_PLAN.engine, marksCold, loadLagMs };
  const plan: SimulationPlan = { ...SIMULATION_PLAN, engine };
  const runs: SimulationRun[] = [];
  const seeds = opts.policy ? SEEDS : BASELINE_SEEDS;
  for (let i = 0; i < seeds; i += 1) {
    const seed = opts.seed + i;
    runs.push(
      await runSimulation({
        plan,
        seed,
        policy: opts.policy,
        load: {
          ratePerS: burstRatePerS ?? RATE_PER_S,
          bursts: burstRatePerS === undefined ? undefined : BURSTS,
          durationS: DURATION_S,
          organisations: [{ id: "c", weight: 1, plan: "standard" }],
          mix: [{ pipeline: DRAFT.name, weight: 1 }],
        },
        during: (simulation) =>
          turnEnginesCold(simulation, { seed, inHand: signals.inHand }),
      }),
    );
  }
  return runs;
}

/** Makes random engines cold at random times. */
async function turnEnginesCold(
  simulation: Simulation,
  { seed, inHand }: { seed: number; inHand: ColdStartMode },
): Promise<void> {
  const random = seededRandom(seed);
  await sleep(FIRST_COLD_START_MS);
  for (let i = 0; i < COLD_STARTS; i += 1) {
    await sleep(random() * 2 * MEAN_PAUSE_MS);
    const index = Math.floor(random() * simulation.engines.length);
    simulation.engines[index]?.turnCold(inHand);
  }
}

function coldFigures(runs: readonly SimulationRun[]) {
  const engines = runs.flatMap(({ simulation }) => simulation.engines);
  const sum = (numbers: readonly number[]) =>
    numbers.reduce((total, value) => total + value, 0);
  return {
    seeds: runs.length,
    bears: engines[0]?.config.coldBears ?? 0,
    cold_peak: Math.max(...engines.map(({ counts }) => counts.coldPeak)),
    overfills: sum(engines.map(({ counts }) => counts.overfills)),
    falls: sum(engines.map(({ counts }) => counts.falls)),
    seeds_with_overfill:
      runs.filter(({ simulation }) =>
        simulation.engines.some(({ counts }) => counts.overfills > 0)
      ).length,
    attainment: sum(runs.map(({ figures }) => figures.attainment)) /
      runs.length,
  };
}
