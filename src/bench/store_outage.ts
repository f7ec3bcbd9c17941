/**
 * Experiment: the table service and the object store are out under load.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import { type Outcome, Told } from "../load/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  runSides,
  type SideRun,
} from "./harness.ts";
import { DRAFT, MIX, SMALL_WORLD } from "./workload.ts";

const RATE_PER_S = 20;
const DURATION_S = 24;
const WARM_UP_S = 6;
const OUT_AT_MS = 4_000;
const BACK_AT_MS = 16_000;
const END_MS = 24_000;

const LOAD = {
  organisations: loadOrganisations(SMALL_WORLD),
  mix: MIX,
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
};

/** Takes the platform's store out and back. */
export const storeOutage: Experiment = {
  name: "store-outage",
  summary: "idempotent work goes on, claims are refused truthfully",
  async run({ seed }): Promise<ExperimentReport> {
    const sides = await runSides({
      plan: SMALL_WORLD,
      load: LOAD,
      warmUp: { ...LOAD, durationS: WARM_UP_S },
      during: async ({ world }) => {
        await sleep(OUT_AT_MS);
        world.storeFaults.outage = true;
        await sleep(BACK_AT_MS - OUT_AT_MS);
        world.storeFaults.outage = false;
      },
    }, { seed });
    return {
      experiment: "store-outage",
      seed,
      policy: sides.policy.side,
      baseline: sides.baseline.side,
      policy_outage: figuresOf(sides.policy),
      baseline_outage: figuresOf(sides.baseline),
    };
  },
};

function figuresOf({ outcomes, audit, report }: SideRun) {
  const isDraft = ({ arrival }: Outcome) =>
    arrival.work.pipeline === DRAFT.name;
  const drafts = outcomes.filter(isDraft);
  const filings = outcomes.filter((one) => !isDraft(one));
  const filedWhileOut = filings.filter(({ arrival }) =>
    arrival.atMs >= OUT_AT_MS && arrival.atMs < BACK_AT_MS
  );
  const told = (what: Told) =>
    filedWhileOut.filter((one) => one.told === what).length;
  const phases = (of: readonly Outcome[]) => ({
    before: attainmentBetween(of, { fromMs: 0, toMs: OUT_AT_MS }),
    out: attainmentBetween(of, { fromMs: OUT_AT_MS, toMs: BACK_AT_MS }),
    after: attainmentBetween(of, { fromMs: BACK_AT_MS, toMs: END_MS }),
  });
  return {
    idempotent_attainment: phases(drafts),
    filing_attainment: phases(filings),
    filings_while_out: {
      done: told(Told.Done),
      not_run: told(Told.NotRun),
      outcome_unknown: told(Told.OutcomeUnknown),
      nothing: told(Told.Nothing),
    },
    reasons: report.reasons,
    ...audit,
  };
}
