/**
 * Rolling restart of a sample deployment under load: every agent and entry is
 * stopped with a drain and started again, one failure domain after the other.
 *
 * A request is cut when its caller gets no response or an unknown outcome.
 * Refusals that say "not run" are counted separately.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import { audit, type Outcome, runLoad, summarise } from "../load/mod.ts";
import { RunningDeployment } from "./deployment.ts";
import { waitReady } from "./fleet.ts";

const DEFAULT_DEPLOYMENT = "lindqvist";
const DEFAULT_BASE_PORT = 30_000;
const SEED = 1;
const PLAIN_PER_S = 15;
const STREAMS_PER_S = 5;
const DURATION_S = 110;
const WARM_UP_MS = 4_000;
/** Time until the entries discover the restarted processes, in ms. */
const SETTLE_MS = 2_500;
const EXIT_OK = 0;

interface Member {
  readonly name: string;
  readonly domain: string;
  readonly control: { readonly address: string; readonly port: number };
}

const startedAt = monotonicMs();
const deployment = await RunningDeployment.start(
  process.argv[2] ?? DEFAULT_DEPLOYMENT,
  {
    basePort: Number(process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT),
    seed: SEED,
  },
);
console.error(`ready_after_ms=${Math.round(monotonicMs() - startedAt)}`);

const outcomes: Outcome[] = [];
const stops: { name: string; code: number; ms: number }[] = [];
let rolledAfterS = 0;
await Promise.all([
  runLoad(loadSettings(PLAIN_PER_S, false), (one) => outcomes.push(one)),
  runLoad(loadSettings(STREAMS_PER_S, true), (one) => outcomes.push(one)),
  restartAll(),
]);
const violations = await deployment.violations();
const audited = audit(outcomes, await deployment.filings());
await deployment.fleet.stopAll();

const report = summarise(outcomes);
console.error(JSON.stringify(report.reasons));
const cut = report.unanswered + report.outcomeUnknown;
stops.filter(({ code }) => code !== EXIT_OK)
  .forEach(({ name, code }) => console.error(`stopped=${name} code=${code}`));
const badStops = stops.filter(({ code }) => code !== EXIT_OK).length;
const slowestStopMs = Math.max(...stops.map(({ ms }) => ms));
console.log(
  `requests=${report.requests} cut=${cut} refused=${report.refused} ` +
    `attainment=${report.attainment.toFixed(4)} stopped=${stops.length} ` +
    `bad_stops=${badStops} slowest_stop_ms=${Math.round(slowestStopMs)} ` +
    `rolled_after_s=${rolledAfterS} doubled=${audited.doubled} ` +
    `lost=${audited.lost} misdelivered=${audited.misdelivered} ` +
    `false_not_run=${audited.falselyNotRun} invariant_violations=${violations}`,
);
const failureCount = cut + badStops + violations + audited.doubled +
  audited.lost + audited.misdelivered + audited.falselyNotRun;
process.exitCode = failureCount === 0 && rolledAfterS <= DURATION_S ? 0 : 1;

function loadSettings(ratePerS: number, streaming: boolean) {
  const seed = streaming ? SEED + 1 : SEED;
  const cfg = deployment.load({ ratePerS, durationS: DURATION_S, seed });
  return { ...cfg, streaming };
}

/** Restarts the agents and then the entries, by failure domain. */
async function restartAll(): Promise<void> {
  const { agents, entries } = deployment.topology;
  await sleep(WARM_UP_MS);
  for (const members of [agents, entries]) {
    for (const batch of byDomain(members)) {
      await restartBatch(batch);
      await sleep(SETTLE_MS);
    }
  }
  rolledAfterS = Math.round((monotonicMs() - startedAt) / 1_000);
}

function byDomain(members: readonly Member[]): readonly (readonly Member[])[] {
  const domains = [...new Set(members.map(({ domain }) => domain))];
  return domains.map((domain) =>
    members.filter((member) => member.domain === domain)
  );
}

async function restartBatch(batch: readonly Member[]): Promise<void> {
  await Promise.all(batch.map(async ({ name, control }) => {
    const stoppedAt = monotonicMs();
    const code = await deployment.fleet.stop(name);
    stops.push({ name, code, ms: monotonicMs() - stoppedAt });
    deployment.fleet.restart(name);
    await waitReady(`http://${control.address}:${control.port}/readyz`);
  }));
}
