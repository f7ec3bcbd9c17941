/**
 * Experiment: all open connections to the targets go silent for good while new
 * ones work.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  runVariants,
  type VariantRun,
} from "./harness.ts";
import { MIX, SMALL_TESTBED } from "./workload.ts";

const RATE_PER_S = 20;
const DURATION_S = 16;
const WARM_UP_S = 6;
const SILENT_AT_MS = [4_000, 9_000];
/** Time after each fault in which its effect is measured, in ms. */
const EFFECT_MS = 3_000;

const PLAN = { ...SMALL_TESTBED, relayed: true };
const LOAD = {
  organisations: loadOrganisations(PLAN),
  mix: MIX,
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
};

/** Silences all open connections twice. */
export const silentConnections: Experiment = {
  name: "silent-connections",
  summary: "attainment when all open connections to the targets go silent",
  async run({ seed }): Promise<ExperimentReport> {
    const silenced = new Map<string, number>();
    const runs = await runVariants({
      plan: PLAN,
      load: LOAD,
      warmUp: { ...LOAD, durationS: WARM_UP_S },
      during: async ({ name, testbed }) => {
        let count = 0;
        let elapsedMs = 0;
        for (const at of SILENT_AT_MS) {
          await sleep(at - elapsedMs);
          elapsedMs = at;
          testbed.targets.forEach(({ relay }) =>
            count += relay?.silence() ?? 0
          );
        }
        silenced.set(name, count);
      },
    }, { seed });
    const figures = (run: VariantRun) => ({
      silenced_connections: silenced.get(run.running.name) ?? 0,
      attainment_after_fault: SILENT_AT_MS.map((fromMs) =>
        attainmentBetween(run.outcomes, { fromMs, toMs: fromMs + EFFECT_MS })
      ),
      outcome_unknown: run.report.outcomeUnknown,
      unanswered: run.report.unanswered,
      ...run.audit,
    });
    return {
      experiment: "silent-connections",
      seed,
      policy: runs.policy.figures,
      baseline: runs.baseline.figures,
      policy_silent: figures(runs.policy),
      baseline_silent: figures(runs.baseline),
    };
  },
};
