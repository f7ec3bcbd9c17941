/**
 * Experiment: a failure domain is taken out of service under load and put
 * back.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import { HostState, type ListedHost } from "../store/mod.ts";
import { changeLists, readLists } from "../process/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  type RunningVariant,
  runVariants,
  type VariantRun,
} from "./harness.ts";
import { MIX, SMALL_TESTBED } from "./workload.ts";
import type { Testbed } from "./testbed.ts";

const RATE_PER_S = 20;
const WARM_UP_S = 6;
const DURATION_S = 18;
const OUT_AT_MS = 5_000;
const IN_AT_MS = 12_000;
const POLL_MS = 10;
const MS_PER_S = 1000;

/** Figures of one variant around the availability order. */
interface DomainOutFigures {
  /** Time from the order to the start of the last call in the domain, in ms. */
  readonly last_new_work_ms: number;
  readonly attainment_before: number;
  readonly attainment_out: number;
  readonly attainment_after: number;
  readonly doubled: number;
}

/** Takes a domain out of service and puts it back. */
export const domainOut: Experiment = {
  name: "domain-out",
  summary: "time of the last new call after the order, attainment meanwhile",
  async run({ seed }): Promise<ExperimentReport> {
    const lastWorkByVariant = new Map<string, number>();
    const runs = await runVariants({
      plan: SMALL_TESTBED,
      load: {
        organisations: loadOrganisations(SMALL_TESTBED),
        mix: MIX,
        ratePerS: RATE_PER_S,
        durationS: DURATION_S,
      },
      warmUp: {
        organisations: loadOrganisations(SMALL_TESTBED),
        mix: MIX,
        ratePerS: RATE_PER_S,
        durationS: WARM_UP_S,
      },
      during: async (variant) => {
        lastWorkByVariant.set(variant.name, await takeOutAndBack(variant));
      },
    }, { seed });
    const figures = (run: VariantRun) =>
      figuresOf(run, lastWorkByVariant.get(run.running.name) ?? 0);
    return {
      experiment: "domain-out",
      seed,
      policy: runs.policy.figures,
      baseline: runs.baseline.figures,
      policy_domain_out: figures(runs.policy),
      baseline_domain_out: figures(runs.baseline),
    };
  },
};

/** Returns the time from the order to the last new call in the domain. */
async function takeOutAndBack({ testbed }: RunningVariant): Promise<number> {
  const domain = testbed.plan.domains[0] as string;
  await sleep(OUT_AT_MS);
  await setOut(testbed, domain, true);
  const orderedAt = monotonicMs();
  let startedBefore = callsStartedIn(testbed, domain);
  let lastAt = orderedAt;
  while (monotonicMs() - orderedAt < IN_AT_MS - OUT_AT_MS) {
    const startedNow = callsStartedIn(testbed, domain);
    if (startedNow > startedBefore) lastAt = monotonicMs();
    startedBefore = startedNow;
    await sleep(POLL_MS);
  }
  await setOut(testbed, domain, false);
  return lastAt - orderedAt;
}

/** Sets the order in the lists and, for the baseline, in the host list. */
async function setOut(
  testbed: Testbed,
  domain: string,
  out: boolean,
): Promise<void> {
  const current = (await readLists(testbed.table))._unsafeUnwrap();
  const availability = { domainsOut: out ? [domain] : [], hostsOut: [] };
  (await changeLists(testbed.table, current, { availability }))._unsafeUnwrap();
  const hosts = (await testbed.hosts.list())._unsafeUnwrap();
  testbed.hosts.replace(hosts.map((host): ListedHost => ({
    ...host,
    state: out && host.domain === domain ? HostState.Leaving : HostState.Live,
  })));
}

/** Returns the number of calls that targets of the domain have started. */
function callsStartedIn(testbed: Testbed, domain: string): number {
  return testbed.targets
    .filter(({ target }) => target.domain === domain)
    .reduce(
      (sum, { engine, simulatedService }) =>
        sum + (engine?.counts.begun ?? 0) + (simulatedService?.begun ?? 0),
      0,
    );
}

function figuresOf(run: VariantRun, lastWorkMs: number): DomainOutFigures {
  const between = (fromMs: number, toMs: number) =>
    attainmentBetween(run.outcomes, { fromMs, toMs });
  return {
    last_new_work_ms: Math.round(lastWorkMs),
    attainment_before: between(0, OUT_AT_MS),
    attainment_out: between(OUT_AT_MS, IN_AT_MS),
    attainment_after: between(IN_AT_MS, DURATION_S * MS_PER_S),
    doubled: run.audit.doubled,
  };
}
