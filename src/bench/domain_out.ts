/**
 * Experiment: a failure domain is taken out of service under load and put
 * back.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import { type HostEntry, HostState } from "../store/mod.ts";
import { changeLists, readLists } from "../process/mod.ts";
import type { Experiment, ExperimentReport } from "./experiment.ts";
import {
  attainmentBetween,
  loadOrganisations,
  type RunningSide,
  runSides,
  type SideRun,
} from "./harness.ts";
import { MIX, SMALL_WORLD } from "./workload.ts";
import type { World } from "./world.ts";

const RATE_PER_S = 20;
const WARM_UP_S = 6;
const DURATION_S = 18;
const OUT_AT_MS = 5_000;
const IN_AT_MS = 12_000;
const WATCH_MS = 10;
const MS_PER_S = 1000;

/** What one side did about the order. */
interface DomainOutFigures {
  /** Time from the order to the last new call in the domain, in ms. */
  readonly last_new_work_ms: number;
  readonly attainment_before: number;
  readonly attainment_out: number;
  readonly attainment_after: number;
  readonly doubled: number;
}

/** Takes a domain out and back. */
export const domainOut: Experiment = {
  name: "domain-out",
  summary: "last new work after the order, attainment meanwhile",
  async run({ seed }): Promise<ExperimentReport> {
    const lastWork = new Map<string, number>();
    const sides = await runSides({
      plan: SMALL_WORLD,
      load: {
        organisations: loadOrganisations(SMALL_WORLD),
        mix: MIX,
        ratePerS: RATE_PER_S,
        durationS: DURATION_S,
      },
      warmUp: {
        organisations: loadOrganisations(SMALL_WORLD),
        mix: MIX,
        ratePerS: RATE_PER_S,
        durationS: WARM_UP_S,
      },
      during: async (side) => {
        lastWork.set(side.name, await takeOutAndBack(side));
      },
    }, { seed });
    const figures = (run: SideRun) =>
      figuresOf(run, lastWork.get(run.running.name) ?? 0);
    return {
      experiment: "domain-out",
      seed,
      policy: sides.policy.side,
      baseline: sides.baseline.side,
      policy_domain_out: figures(sides.policy),
      baseline_domain_out: figures(sides.baseline),
    };
  },
};

/** Gives the time from the order to the last new work in the domain. */
async function takeOutAndBack({ world }: RunningSide): Promise<number> {
  const domain = world.plan.domains[0] as string;
  await sleep(OUT_AT_MS);
  await setOut(world, domain, true);
  const orderedAt = monotonicMs();
  let begun = begunIn(world, domain);
  let lastAt = orderedAt;
  while (monotonicMs() - orderedAt < IN_AT_MS - OUT_AT_MS) {
    const now = begunIn(world, domain);
    if (now > begun) lastAt = monotonicMs();
    begun = now;
    await sleep(WATCH_MS);
  }
  await setOut(world, domain, false);
  return lastAt - orderedAt;
}

/** Orders in the lists and, for the baseline, in the platform's host list. */
async function setOut(
  world: World,
  domain: string,
  out: boolean,
): Promise<void> {
  const standing = (await readLists(world.table))._unsafeUnwrap();
  const availability = { domainsOut: out ? [domain] : [], hostsOut: [] };
  (await changeLists(world.table, standing, { availability }))._unsafeUnwrap();
  const hosts = (await world.hosts.list())._unsafeUnwrap();
  world.hosts.replace(hosts.map((one): HostEntry => ({
    ...one,
    state: out && one.domain === domain ? HostState.Leaving : HostState.Live,
  })));
}

/** Calls that targets of the domain have begun. */
function begunIn(world: World, domain: string): number {
  return world.targets
    .filter(({ target }) => target.domain === domain)
    .reduce(
      (sum, { engine, plain }) =>
        sum + (engine?.counts.begun ?? 0) + (plain?.begun ?? 0),
      0,
    );
}

function figuresOf(run: SideRun, lastWorkMs: number): DomainOutFigures {
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
