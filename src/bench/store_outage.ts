/**
 * Experiment: outage of the table service and the object store under load.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import { type Outcome, ReportedOutcome } from "../load/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  runVariants,
  type VariantRun,
} from "./harness.ts";
import { DRAFT, MIX, SMALL_TESTBED } from "./workload.ts";

const RATE_PER_S = 20;
const DURATION_S = 24;
const WARM_UP_S = 6;
const OUT_AT_MS = 4_000;
const BACK_AT_MS = 16_000;
const END_MS = 24_000;

const LOAD = {
  organisations: loadOrganisations(SMALL_TESTBED),
  mix: MIX,
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
};

/** Makes both stores unavailable for a time. */
export const storeOutage: Experiment = {
  name: "store-outage",
  summary: "idempotent work continues, refused claims are reported truthfully",
  async run({ seed }): Promise<ExperimentReport> {
    const runs = await runVariants({
      plan: SMALL_TESTBED,
      load: LOAD,
      warmUp: { ...LOAD, durationS: WARM_UP_S },
      during: async ({ testbed }) => {
        await sleep(OUT_AT_MS);
        testbed.storeFaults.outage = true;
        await sleep(BACK_AT_MS - OUT_AT_MS);
        testbed.storeFaults.outage = false;
      },
    }, { seed });
    return {
      experiment: "store-outage",
      seed,
      policy: runs.policy.figures,
      baseline: runs.baseline.figures,
      policy_outage: figuresOf(runs.policy),
      baseline_outage: figuresOf(runs.baseline),
    };
  },
};

function figuresOf({ outcomes, audit, report }: VariantRun) {
  const isDraft = ({ arrival }: Outcome) =>
    arrival.workload.pipeline === DRAFT.name;
  const drafts = outcomes.filter(isDraft);
  const filings = outcomes.filter((one) => !isDraft(one));
  const filedWhileOut = filings.filter(({ arrival }) =>
    arrival.atMs >= OUT_AT_MS && arrival.atMs < BACK_AT_MS
  );
  const countOf = (kind: ReportedOutcome) =>
    filedWhileOut.filter((one) => one.reported === kind).length;
  const phases = (of: readonly Outcome[]) => ({
    before: attainmentBetween(of, { fromMs: 0, toMs: OUT_AT_MS }),
    out: attainmentBetween(of, { fromMs: OUT_AT_MS, toMs: BACK_AT_MS }),
    after: attainmentBetween(of, { fromMs: BACK_AT_MS, toMs: END_MS }),
  });
  return {
    idempotent_attainment: phases(drafts),
    filing_attainment: phases(filings),
    filings_while_out: {
      done: countOf(ReportedOutcome.Done),
      not_run: countOf(ReportedOutcome.NotRun),
      outcome_unknown: countOf(ReportedOutcome.OutcomeUnknown),
      nothing: countOf(ReportedOutcome.NoResponse),
    },
    reasons: report.reasons,
    ...audit,
  };
}
