/**
 * Experiment: loads of one, two and four times the capacity of the engines.
 *
 * @module
 */

import type { UseList } from "../model/mod.ts";
import { measureCapacity } from "./capacity.ts";
import type {
  Experiment,
  ExperimentReport,
  VariantFigures,
} from "./experiment.ts";
import { Simulation, type SimulationPlan } from "./simulation.ts";
import {
  attainmentOf,
  figuresOf,
  round,
  runSimulationLoad,
  serveByEntries,
  serveByRoundRobin,
  type SimulationLoad,
  type SimulationOutcome,
} from "./simulation_load.ts";
import { DOSSIER, DRAFT, SIMULATION_PLAN } from "./simulation_plan.ts";
import { withPausedClock } from "../testing/mod.ts";

const FACTORS = [1, 2, 4] as const;
const DURATION_S = 30;
/** Load of drafts and of dossiers, as shares of the capacity. */
const DRAFTS_LOAD = 0.6;
const DOSSIERS_LOAD = 0.8;
/** Long enough for the backlog to exceed the deadline of a dossier. */
const DOSSIERS_DURATION_S = 80;
const MS_PER_S = 1000;
/** Start of the measured part, after limits and estimates have settled. */
const SETTLED_AT_MS = 8_000;
const ORGANISATIONS = ["c1", "c2", "c3", "c4"].map((id) => ({
  id,
  weight: 1,
  plan: "standard",
}));

/** Engines are warm; the experiment `cold-start` covers cold ones. */
const PLAN: SimulationPlan = {
  ...SIMULATION_PLAN,
  engine: { ...SIMULATION_PLAN.engine, warmAfter: 0 },
};

/** Figures of both variants under one load. */
interface OverloadRow {
  readonly load: number;
  readonly offered_per_s: number;
  readonly policy_goodput: number;
  readonly baseline_goodput: number;
  readonly policy: VariantFigures;
  readonly baseline: VariantFigures;
}

/** Measures goodput under overload as a share of the measured capacity. */
export const overload: Experiment = {
  name: "overload",
  summary: "goodput at 1, 2 and 4 times the capacity, against round robin",
  async run({ seed }): Promise<ExperimentReport> {
    const capacity = await withPausedClock(
      () =>
        measureCapacity(PLAN, {
          tokens: DRAFT.stages[1]?.maxTokens ?? 0,
          seed,
        }),
      { seed },
    );
    const rows: OverloadRow[] = [];
    for (const factor of FACTORS) {
      rows.push(await runFactor(factor, { capacity, seed }));
    }
    const last = rows.at(-1) as OverloadRow;
    const dossiers = await runDossiers({ capacity, seed });
    return {
      experiment: "overload",
      seed,
      capacity_per_s: round(capacity),
      policy: last.policy,
      baseline: last.baseline,
      loads: rows,
      dossiers,
    };
  },
};

async function runFactor(
  factor: number,
  { capacity, seed }: { capacity: number; seed: number },
): Promise<OverloadRow> {
  const load: SimulationLoad = {
    ratePerS: capacity * factor,
    durationS: DURATION_S,
    organisations: ORGANISATIONS,
    mix: [{ pipeline: DRAFT.name, weight: 1 }],
  };
  const policy = await runSimulation({ plan: PLAN, load, seed, policy: true });
  const baseline = await runSimulation({
    plan: PLAN,
    load,
    seed,
    policy: false,
  });
  const goodput = (outcomes: readonly SimulationOutcome[]) =>
    round(goodputOf(outcomes) / capacity);
  return {
    load: factor,
    offered_per_s: round(load.ratePerS),
    policy_goodput: goodput(policy.outcomes),
    baseline_goodput: goodput(baseline.outcomes),
    policy: policy.figures,
    baseline: baseline.figures,
  };
}

/** Runs drafts at a part of the capacity beside more dossiers than fit. */
async function runDossiers(
  { capacity, seed }: { capacity: number; seed: number },
) {
  // A dossier generates four times the tokens of a draft.
  const load: SimulationLoad = {
    ratePerS: capacity * (DRAFTS_LOAD + DOSSIERS_LOAD / 4),
    durationS: DOSSIERS_DURATION_S,
    organisations: ORGANISATIONS,
    mix: [
      { pipeline: DRAFT.name, weight: DRAFTS_LOAD },
      { pipeline: DOSSIER.name, weight: DOSSIERS_LOAD / 4 },
    ],
  };
  const figures = async (policy: boolean) => {
    const { outcomes } = await runSimulation({
      plan: PLAN,
      load,
      seed,
      policy,
    });
    const of = (name: string) =>
      outcomes.filter(({ arrival }) => arrival.workload.pipeline === name);
    return {
      drafts_attainment: attainmentOf(of(DRAFT.name)),
      dossiers_attainment: attainmentOf(of(DOSSIER.name)),
    };
  };
  return {
    drafts_load: DRAFTS_LOAD,
    dossiers_load: DOSSIERS_LOAD,
    policy: await figures(true),
    baseline: await figures(false),
  };
}

/** Results of one variant in a simulation. */
export interface SimulationRun {
  readonly figures: VariantFigures;
  readonly outcomes: readonly SimulationOutcome[];
  readonly simulation: Simulation;
}

/** Runs one variant in a simulation under a paused clock. */
export function runSimulation(
  opts: {
    plan: SimulationPlan;
    load: SimulationLoad;
    seed: number;
    /** False for the baseline. */
    policy: boolean;
    /** Runs concurrently with the load and injects faults. */
    during?: (simulation: Simulation) => Promise<void>;
  },
): Promise<SimulationRun> {
  const { plan, load, seed } = opts;
  const use: UseList = plan.use;
  return withPausedClock(async () => {
    const simulation = new Simulation(plan, { seed });
    const serve = opts.policy
      ? serveByEntries(await simulation.startEntries())
      : serveByRoundRobin(simulation);
    const [outcomes] = await Promise.all([
      runSimulationLoad(load, { seed, use, serve }),
      opts.during?.(simulation),
    ]);
    simulation.stop();
    return { figures: figuresOf(simulation, outcomes), outcomes, simulation };
  }, { seed });
}

/**
 * Returns the requests per second that completed within their deadline after
 * limits have settled and before the load ends.
 */
function goodputOf(outcomes: readonly SimulationOutcome[]): number {
  const untilMs = DURATION_S * MS_PER_S;
  const completed = outcomes.filter(({ withinDeadline, endedAtMs }) =>
    withinDeadline && endedAtMs >= SETTLED_AT_MS && endedAtMs < untilMs
  );
  return completed.length / (untilMs - SETTLED_AT_MS) * MS_PER_S;
}
