/**
 * Experiment: every open connection to the targets goes silent for good while
 * new ones work.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  runSides,
  type SideRun,
} from "./harness.ts";
import { MIX, SMALL_WORLD } from "./workload.ts";

const RATE_PER_S = 20;
const DURATION_S = 16;
const WARM_UP_S = 6;
const SILENT_AT_MS = [4_000, 9_000];
/** Span after each fault in which its effect is measured, in ms. */
const EFFECT_MS = 3_000;

const PLAN = { ...SMALL_WORLD, relayed: true };
const LOAD = {
  organisations: loadOrganisations(PLAN),
  mix: MIX,
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
};

/** Silences the connections twice. */
export const silentConnections: Experiment = {
  name: "silent-connections",
  summary: "attainment when every open connection to targets goes silent",
  async run({ seed }): Promise<ExperimentReport> {
    const silenced = new Map<string, number>();
    const sides = await runSides({
      plan: PLAN,
      load: LOAD,
      warmUp: { ...LOAD, durationS: WARM_UP_S },
      during: async ({ name, world }) => {
        let count = 0;
        let now = 0;
        for (const at of SILENT_AT_MS) {
          await sleep(at - now);
          now = at;
          world.targets.forEach(({ relay }) => count += relay?.silence() ?? 0);
        }
        silenced.set(name, count);
      },
    }, { seed });
    const figures = (run: SideRun) => ({
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
      policy: sides.policy.side,
      baseline: sides.baseline.side,
      policy_silent: figures(sides.policy),
      baseline_silent: figures(sides.baseline),
    };
  },
};
