/**
 * Experiment: a greedy organisation sends ten times its share while the other
 * organisations stay below theirs.
 *
 * @module
 */

import { measureCapacity } from "./capacity.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentOf,
  round,
  type SimulationOutcome,
} from "./simulation_load.ts";
import { DRAFT, SIMULATION_PLAN } from "./simulation_plan.ts";
import { runSimulation, type SimulationRun } from "./overload.ts";
import { withPausedClock } from "../testing/mod.ts";

const DURATION_S = 30;
const MS_PER_S = 1000;
/** Part of their own share that the modest organisations use. */
const MODEST_USE = 0.8;
const GREEDY_FACTOR = 10;
const MODEST = ["m1", "m2", "m3"] as const;
const GREEDY = "greedy";
const ORGANISATIONS = MODEST.length + 1;
const PLAN = {
  ...SIMULATION_PLAN,
  engine: { ...SIMULATION_PLAN.engine, warmAfter: 0 },
};

/** Compares the modest organisations with and without a greedy one. */
export const shares: Experiment = {
  name: "shares",
  summary:
    "attainment of modest organisations beside one at ten times its share",
  async run({ seed }): Promise<ExperimentReport> {
    const capacity = await withPausedClock(
      () =>
        measureCapacity(PLAN, {
          tokens: DRAFT.stages[1]?.maxTokens ?? 0,
          seed,
        }),
      { seed },
    );
    const share = capacity / ORGANISATIONS;
    const run = (policy: boolean, greedyFactor: number) =>
      runSimulation({
        plan: PLAN,
        load: loadOf(share, greedyFactor),
        seed,
        policy,
      });
    const alone = await run(true, MODEST_USE);
    const beside = await run(true, GREEDY_FACTOR);
    const baselineAlone = await run(false, MODEST_USE);
    const baselineBeside = await run(false, GREEDY_FACTOR);
    return {
      experiment: "shares",
      seed,
      share_per_s: round(share),
      policy: beside.figures,
      baseline: baselineBeside.figures,
      policy_shares: figuresOf(alone, beside, share),
      baseline_shares: figuresOf(baselineAlone, baselineBeside, share),
    };
  },
};

function loadOf(share: number, greedyFactor: number) {
  const organisations = [
    ...MODEST.map((id) => ({ id, weight: MODEST_USE, plan: "standard" })),
    { id: GREEDY, weight: greedyFactor, plan: "standard" },
  ];
  const weights = organisations.reduce((sum, { weight }) => sum + weight, 0);
  return {
    ratePerS: share * weights,
    durationS: DURATION_S,
    organisations,
    mix: [{ pipeline: DRAFT.name, weight: 1 }],
  };
}

function figuresOf(alone: SimulationRun, beside: SimulationRun, share: number) {
  const modest = ({ outcomes }: SimulationRun) =>
    outcomes.filter(({ arrival }) => arrival.organisation.id !== GREEDY);
  const before = attainmentOf(modest(alone));
  const after = attainmentOf(modest(beside));
  return {
    modest_attainment_alone: before,
    modest_attainment_beside: after,
    moved_points: round((before - after) * 100),
    greedy_shares_got: round(perSecond(beside.outcomes, GREEDY) / share),
  };
}

/**
 * Returns the requests per second of an organisation that completed within
 * their deadline while the load ran.
 */
function perSecond(
  outcomes: readonly SimulationOutcome[],
  organisation: string,
): number {
  const completed = outcomes.filter((
    { withinDeadline, arrival, endedAtMs },
  ) =>
    withinDeadline && arrival.organisation.id === organisation &&
    endedAtMs < DURATION_S * MS_PER_S
  );
  return completed.length / DURATION_S;
}
