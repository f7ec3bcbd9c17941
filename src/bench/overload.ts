/**
 * Experiment: one, two and four times the load that the engines can carry.
 *
 * @module
 */

import type { UseList } from "../model/mod.ts";
import { measureCapacity } from "./capacity.ts";
import type { Experiment, ExperimentReport, Side } from "./experiment.ts";
import { Lab, type LabPlan } from "./lab.ts";
import {
  attainmentOf,
  driveLab,
  type LabLoad,
  type LabOutcome,
  labSide,
  round,
  serveByEntries,
  serveByRoundRobin,
} from "./lab_load.ts";
import { DOSSIER, DRAFT, LAB_PLAN } from "./lab_plan.ts";
import { underPausedClock } from "../testing/mod.ts";

const FACTORS = [1, 2, 4] as const;
const DURATION_S = 30;
/** Load of short work and of dossiers, as shares of the capacity. */
const DRAFTS_LOAD = 0.6;
const DOSSIERS_LOAD = 0.8;
/** Long enough for the excess to exceed the deadline of a dossier. */
const DOSSIERS_S = 80;
const MS_PER_S = 1000;
/** Start of the measured part; before it, limits and estimates settle. */
const SETTLED_AT_MS = 8_000;
const ORGANISATIONS = ["c1", "c2", "c3", "c4"].map((id) => ({
  id,
  weight: 1,
  plan: "standard",
}));

/** Warm engines: cold start is the matter of another experiment. */
const PLAN: LabPlan = {
  ...LAB_PLAN,
  engine: { ...LAB_PLAN.engine, warmAfter: 0 },
};

/** One load on both sides. */
interface OverloadRow {
  readonly load: number;
  readonly offered_per_s: number;
  readonly policy_goodput: number;
  readonly baseline_goodput: number;
  readonly policy: Side;
  readonly baseline: Side;
}

/** Goodput under overload as a share of the measured capacity. */
export const overload: Experiment = {
  name: "overload",
  summary: "goodput under 1, 2 and 4 times the capacity, against round robin",
  async run({ seed }): Promise<ExperimentReport> {
    const capacity = await underPausedClock(
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
  const load: LabLoad = {
    ratePerS: capacity * factor,
    durationS: DURATION_S,
    organisations: ORGANISATIONS,
    mix: [{ pipeline: DRAFT.name, weight: 1 }],
  };
  const policy = await runLabSide({ plan: PLAN, load, seed, policy: true });
  const baseline = await runLabSide({ plan: PLAN, load, seed, policy: false });
  const goodput = (outcomes: readonly LabOutcome[]) =>
    round(goodputOf(outcomes) / capacity);
  return {
    load: factor,
    offered_per_s: round(load.ratePerS),
    policy_goodput: goodput(policy.outcomes),
    baseline_goodput: goodput(baseline.outcomes),
    policy: policy.side,
    baseline: baseline.side,
  };
}

/** Short work at part of the capacity beside more dossiers than fit. */
async function runDossiers(
  { capacity, seed }: { capacity: number; seed: number },
) {
  // A dossier costs four times the tokens of a draft.
  const load: LabLoad = {
    ratePerS: capacity * (DRAFTS_LOAD + DOSSIERS_LOAD / 4),
    durationS: DOSSIERS_S,
    organisations: ORGANISATIONS,
    mix: [
      { pipeline: DRAFT.name, weight: DRAFTS_LOAD },
      { pipeline: DOSSIER.name, weight: DOSSIERS_LOAD / 4 },
    ],
  };
  const figures = async (policy: boolean) => {
    const { outcomes } = await runLabSide({ plan: PLAN, load, seed, policy });
    const of = (name: string) =>
      outcomes.filter(({ arrival }) => arrival.work.pipeline === name);
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

/** What a side of a lab gave. */
export interface LabRun {
  readonly side: Side;
  readonly outcomes: readonly LabOutcome[];
  readonly lab: Lab;
}

/** Runs one side of a lab under a paused clock. */
export function runLabSide(
  opts: {
    plan: LabPlan;
    load: LabLoad;
    seed: number;
    /** False for the baseline. */
    policy: boolean;
    /** Runs beside the load: faults. */
    during?: (lab: Lab) => Promise<void>;
  },
): Promise<LabRun> {
  const { plan, load, seed } = opts;
  const use: UseList = plan.use;
  return underPausedClock(async () => {
    const lab = new Lab(plan, { seed });
    const serve = opts.policy
      ? serveByEntries(await lab.startEntries())
      : serveByRoundRobin(lab);
    const [outcomes] = await Promise.all([
      driveLab(load, { seed, use, serve }),
      opts.during?.(lab),
    ]);
    lab.stop();
    return { side: labSide(lab, outcomes), outcomes, lab };
  }, { seed });
}

/** Requests a second that ended in time while load and limits were steady. */
function goodputOf(outcomes: readonly LabOutcome[]): number {
  const untilMs = DURATION_S * MS_PER_S;
  const good = outcomes.filter(({ inTime, endedAtMs }) =>
    inTime && endedAtMs >= SETTLED_AT_MS && endedAtMs < untilMs
  );
  return good.length / (untilMs - SETTLED_AT_MS) * MS_PER_S;
}
