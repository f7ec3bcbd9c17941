/**
 * Demonstration: runs both sample deployments under load while a failure domain
 * is taken out of service and put back and processes are killed.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import { audit, type Outcome, runLoad, summarise } from "../load/mod.ts";
import { RunningDeployment } from "./deployment.ts";

const ALL_NAMES = ["lindqvist", "abay"];
/** Deployments to run; without arguments all of them. */
const NAMES = process.argv.length > 2 ? process.argv.slice(2) : ALL_NAMES;
const SEED = 1;
const RATE_PER_S = 40;
const DURATION_S = 16;
const PORTS_PER_DEPLOYMENT = 400;
const DEFAULT_BASE_PORT = 21_000;
/** Set from the environment so that several runs fit on one machine. */
const FIRST_PORT = Number(
  process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT,
);
/** Repeated requests under the same key, as callers make them. */
const REPEATS = { notRun: 2, lost: 2 };
const DOMAIN_OUT_AT_MS = 3_000;
const DOMAIN_IN_AT_MS = 8_000;
const KILL_AT_MS = 10_000;
const RESTART_AT_MS = 11_000;

const startedAt = Date.now();
const deployments = await Promise.all(
  NAMES.map((name, i) =>
    RunningDeployment.start(name, {
      basePort: FIRST_PORT + i * PORTS_PER_DEPLOYMENT,
      seed: SEED,
    })
  ),
);
console.error(`ready_after_ms=${Date.now() - startedAt}`);

const results = await Promise.all(deployments.map(runDeployment));
await Promise.all(deployments.map(({ fleet }) => fleet.stopAll()));

const total = (read: (result: typeof results[number]) => number) =>
  results.reduce((sum, result) => sum + read(result), 0);
const requests = total((r) => r.outcomes.length);
const attained = total((r) => r.report.attainment * r.report.requests);
const doubled = total((r) => r.audit.doubled);
const lost = total((r) => r.audit.lost);
const misdelivered = total((r) => r.audit.misdelivered);
const violations = total((r) => r.violations);
const falselyNotRun = total((r) => r.audit.falselyNotRun);
console.log(
  `requests=${requests} attainment=${(attained / requests).toFixed(4)} ` +
    `doubled=${doubled} lost=${lost} misdelivered=${misdelivered} ` +
    `invariant_violations=${violations} false_not_run=${falselyNotRun}`,
);
const failureCount = doubled + lost + misdelivered + violations + falselyNotRun;
process.exitCode = failureCount === 0 ? 0 : 1;

/** Runs the load on a deployment while faults are injected. */
async function runDeployment(deployment: RunningDeployment) {
  const cfg = {
    ...deployment.load({
      ratePerS: RATE_PER_S,
      durationS: DURATION_S,
      seed: SEED,
    }),
    repeats: REPEATS,
  };
  const outcomes: Outcome[] = [];
  const load = runLoad(cfg, (outcome) => outcomes.push(outcome));
  await Promise.all([load, injectFaults(deployment)]);
  const report = summarise(outcomes);
  console.error(JSON.stringify({ deployment: deployment.name, ...report }));
  return {
    outcomes,
    report,
    audit: audit(outcomes, await deployment.filings()),
    violations: await deployment.violations(),
  };
}

/**
 * Takes a failure domain out of service and puts it back, then kills and
 * restarts an agent and an entry.
 */
async function injectFaults(deployment: RunningDeployment): Promise<void> {
  const { fleet, topology } = deployment;
  const domain = topology.entries[0]?.domain ?? "";
  await sleep(DOMAIN_OUT_AT_MS);
  await deployment.setDomainOut(domain, true);
  await sleep(DOMAIN_IN_AT_MS - DOMAIN_OUT_AT_MS);
  await deployment.setDomainOut(domain, false);
  await sleep(KILL_AT_MS - DOMAIN_IN_AT_MS);
  const killed = [fleet.names("agent-")[0], fleet.names("entry-")[0]]
    .filter((name) => name !== undefined);
  killed.forEach((name) => fleet.signal(name, "SIGKILL"));
  await sleep(RESTART_AT_MS - KILL_AT_MS);
  killed.forEach((name) => fleet.restart(name));
}
