/**
 * Operations run: changes lists and gives orders on a deployment in separate
 * processes while processes are killed and paused, operators race and the table
 * service fails. Prints one line of `key=value` pairs at the end.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../kernel/mod.ts";
import { audit, type Outcome, runLoad, summarise } from "../load/mod.ts";
import type { DurationHistogram } from "../telemetry/mod.ts";
import { RunningDeployment } from "./deployment.ts";
import { OrderProbe, SETTLE_MS } from "./ops_probe.ts";
import {
  type CommandResult,
  type ProcessSample,
  runCommand,
  sampleAll,
  setFaults,
} from "./ops_watch.ts";

const SEED = 1;
const DEFAULT_BASE_PORT = 21_000;
const RATE_PER_S = 10;
const DURATION_S = 180;
/** Bound on the time from an order until the last new work, in ms. */
const ORDER_BOUND_MS = 5_000;
/** Bound on the time until a change is in force, in milliseconds. */
const CHANGE_BOUND_MS = 20_000;
const PAUSE_MS = 6_000;
const OUTAGE_MS = 12_000;
const FLAP_MS = 700;
const SLOW_MS = 1_500;

const basePort = Number(process.env.CASSIAPOST_BASE_PORT ?? DEFAULT_BASE_PORT);
const deployment = await RunningDeployment.start("abay", {
  basePort,
  seed: SEED,
});
const { fleet, topology } = deployment;
const dir = mkdtempSync(join(tmpdir(), "ops-"));
const domain = topology.entries[0]?.domain ?? "";
const probe = new OrderProbe(deployment, domain);

const outcomes: Outcome[] = [];
const cfg = deployment.load({
  ratePerS: RATE_PER_S,
  durationS: DURATION_S,
  seed: SEED,
});
const load = runLoad(cfg, (outcome) => outcomes.push(outcome));
const before = await sampleAll(deployment);
const measuredFrom = Date.now();

await plainRounds();
await killRound();
await pauseRound();
await cutRound();
await outageRound();
await slowRound();
await flapRound();
await lostResponseRound();
await raceRound();

const after = await sampleAll(deployment);
const seconds = (Date.now() - measuredFrom) / 1_000;
const changes = (await probe.standing()).version - 1;
await load;
const audited = audit(outcomes, await deployment.filings());
const report = summarise(outcomes);
const violations = await deployment.violations();
await fleet.stopAll();
rmSync(dir, { recursive: true });
const rate = (read: (one: ProcessSample) => number) =>
  (total(after, read) - total(before, read)) / seconds;
probe.expect(
  probe.lastNewWork.quantile(1) <= ORDER_BOUND_MS,
  "last new work within its bound",
);
probe.expect(
  probe.inForce.quantile(1) <= CHANGE_BOUND_MS,
  "changes in force within their bound",
);
const failureCount = audited.doubled + audited.lost + audited.misdelivered +
  audited.falselyNotRun + violations + probe.failed.length;
console.log(
  `processes=${after.length} changes=${changes} ` +
    `${
      formatQuantiles("in_force", probe.inForce)
    } bound_ms=${CHANGE_BOUND_MS} ` +
    `${
      formatQuantiles("last_new_work", probe.lastNewWork)
    } bound_ms=${ORDER_BOUND_MS} ` +
    `reads_per_s=${rate(({ reads }) => reads).toFixed(1)} ` +
    `writes_per_s=${rate(({ writes }) => writes).toFixed(1)} ` +
    `requests=${outcomes.length} attainment=${report.attainment.toFixed(4)} ` +
    `false_not_run=${audited.falselyNotRun} doubled=${audited.doubled} ` +
    `lost=${audited.lost} misdelivered=${audited.misdelivered} ` +
    `invariant_violations=${violations} failed_checks=${probe.failed.length}`,
);
process.exitCode = failureCount === 0 ? 0 : 1;

/** Gives orders to a deployment without faults. */
async function plainRounds(): Promise<void> {
  for (let i = 0; i < 4; i += 1) {
    await probe.order("plain", { out: true });
    await probe.order("plain", { out: false });
  }
}

/** Gives an order while an agent and an entry are killed. */
async function killRound(): Promise<void> {
  const killed = [fleet.names("agent-")[0], fleet.names("entry-")[0]]
    .filter((name) => name !== undefined);
  killed.forEach((name) => fleet.signal(name, "SIGKILL"));
  const result = await probe.order("kill", { out: true });
  killed.forEach((name) =>
    probe.expect(
      result.stdout.includes(name),
      `kill: the command names ${name}`,
    )
  );
  killed.forEach((name) => fleet.restart(name));
  await deployment.ready();
  await probe.order("kill", { out: false });
}

/** Gives an order while an agent of its failure domain is paused. */
async function pauseRound(): Promise<void> {
  const paused = topology.agents.find((one) => one.domain === domain)?.name ??
    "";
  fleet.signal(paused, "SIGSTOP");
  const resume = sleep(PAUSE_MS).then(() => fleet.signal(paused, "SIGCONT"));
  await probe.order("pause", { out: true });
  await resume;
  await probe.order("pause", { out: false });
}

/** Gives orders on a domain that cannot reach the table service. */
async function cutRound(): Promise<void> {
  await setFaults(deployment, { outage: true }, domain);
  await sleep(SETTLE_MS);
  await probe.order("cut", { out: true });
  await setFaults(deployment, { outage: false }, domain);
  await probe.order("cut", { out: false });
}

/**
 * Checks that work continues during an outage of the table service and that a
 * restarted process gets the lists from its peers.
 */
async function outageRound(): Promise<void> {
  const { version } = await probe.standing();
  await setFaults(deployment, { outage: true });
  await sleep(OUTAGE_MS / 2);
  const restarted = fleet.names("entry-")[1] ?? "";
  fleet.signal(restarted, "SIGKILL");
  fleet.restart(restarted);
  const refused = await runCommand(deployment, ["domain", "out", domain]);
  probe.expect(refused.code === 1, "outage: an order is refused with code 1");
  await sleep(OUTAGE_MS);
  const samples = await sampleAll(deployment);
  probe.expect(
    samples.every((one) => one.acceptsWork && one.version === version),
    `outage: ${samples.filter((one) => one.acceptsWork).length} of ` +
      `${samples.length} accept work`,
  );
  await setFaults(deployment, { outage: false });
  await probe.order("outage", { out: true });
  await probe.order("outage", { out: false });
}

/** Gives orders while the table service exceeds the processes' time-outs. */
async function slowRound(): Promise<void> {
  await setFaults(deployment, { slowMs: SLOW_MS });
  await sleep(2 * SETTLE_MS);
  const samples = await sampleAll(deployment);
  const working = samples.filter((one) => one.acceptsWork).length;
  probe.expect(
    working === samples.length,
    `slow: ${working} of ${samples.length} work`,
  );
  await probe.order("slow", { out: true });
  await setFaults(deployment, { slowMs: 0 });
  await probe.order("slow", { out: false });
}

/** Gives orders while the table service alternates with outages. */
async function flapRound(): Promise<void> {
  await setFaults(deployment, { flapMs: FLAP_MS });
  for (const out of [true, false]) {
    const result = await probe.orderUntilDone(out);
    const action = out ? "out" : "in";
    probe.expect(result.code === 0, `flap: domain ${action} is in force`);
  }
  await setFaults(deployment, { flapMs: 0 });
}

/**
 * Checks that exit code 0 means a stored order while half of the responses of
 * the table service are lost.
 */
async function lostResponseRound(): Promise<void> {
  await setFaults(deployment, { loseAnswers: 0.5 });
  for (const out of [true, false, true, false]) {
    const action = out ? "out" : "in";
    const result = await probe.orderUntilDone(out);
    const { domainsOut } = (await probe.standing()).availability;
    probe.expect(
      result.code !== 0 || domainsOut.includes(domain) === out,
      `lost responses: domain ${action} is reported correctly`,
    );
  }
  await setFaults(deployment, { loseAnswers: 0 });
}

/**
 * Checks that of racing operators at most one has its file accepted and that
 * the others get the differences.
 */
async function raceRound(): Promise<void> {
  const shown = await runCommand(deployment, ["lists", "show", "--json"]);
  const lists = JSON.parse(shown.stdout) as { organisations: object[] };
  const files = ["a", "b", "c"].map((name, i) => {
    const file = join(dir, `${name}.json`);
    const keySha256 = String(i).repeat(64);
    const added = { id: `raced-${name}`, plan: "member", keySha256 };
    const organisations = [...lists.organisations, added];
    writeFileSync(file, JSON.stringify({ ...lists, organisations }));
    return file;
  });
  const results = await Promise.all([
    ...files.map((file) => runCommand(deployment, ["lists", "apply", file])),
    runCommand(deployment, ["domain", "out", domain]),
    runCommand(deployment, ["domain", "in", domain]),
  ]);
  const applied = results.slice(0, files.length);
  const winners = applied.filter(({ code }) => code === 0);
  probe.expect(
    winners.length <= 1,
    `race: ${winners.length} files were accepted`,
  );
  const losers = applied.filter(({ code }) => code !== 0);
  probe.expect(
    losers.every(hasDifferences),
    `race: the losers get the differences:\n${
      losers.map(({ stderr }) => stderr).join("")
    }`,
  );
  const { organisations } = (await probe.standing()).organisations;
  const raced = organisations.filter(({ id }) => id.startsWith("raced-"));
  probe.expect(
    raced.length === winners.length,
    `race: ${raced.length} of the files are stored`,
  );
  const bad = join(dir, "bad.json");
  const faulty = { organisations: [{ id: "A" }, { id: "A" }], plans: 1 };
  writeFileSync(bad, JSON.stringify(faulty));
  const refused = await runCommand(deployment, ["lists", "apply", bad]);
  const findings = refused.stderr.split("\n").filter((l) => l.startsWith("$."));
  probe.expect(
    refused.code === 2 && findings.length > 4,
    `race: a bad file is refused with ${findings.length} findings`,
  );
}

/**
 * True when a command was refused and printed the differences, or that nothing
 * differs any more.
 */
function hasDifferences({ code, stderr }: CommandResult): boolean {
  return code === 1 && /^[~+-] |still differs/m.test(stderr);
}

function total(
  samples: readonly ProcessSample[],
  read: (one: ProcessSample) => number,
): number {
  return samples.reduce((sum, one) => sum + read(one), 0);
}

function formatQuantiles(name: string, times: DurationHistogram): string {
  return `${name}_count=${times.count} ` +
    [0.5, 0.95, 1].map((q) =>
      `${name}_${q === 1 ? "max" : `p${q * 100}`}_ms=` +
      `${Math.round(times.quantile(q))}`
    ).join(" ");
}
