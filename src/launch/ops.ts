/**
 * Operations run: list changes and orders on a deployment in separate
 * processes while processes are killed and paused, operators race and the table
 * service fails. Ends with one line of key=value.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../kernel/mod.ts";
import { audit, type Outcome, runLoad, summarise } from "../load/mod.ts";
import type { Durations } from "../telemetry/mod.ts";
import { RunningDeployment } from "./deployment.ts";
import { OrderProbe, SETTLE_MS } from "./ops_probe.ts";
import {
  type CommandEnd,
  runCommand,
  setFaults,
  sightAll,
  type Sighting,
} from "./ops_watch.ts";

const SEED = 1;
const DEFAULT_BASE_PORT = 21_000;
const RATE_PER_S = 10;
const DURATION_S = 180;
/** Time in which an order has to end new work, in milliseconds. */
const ORDER_BOUND_MS = 5_000;
/** Time in which a change has to be in force, in milliseconds. */
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
const before = await sightAll(deployment);
const countedFrom = Date.now();

await plainRounds();
await killRound();
await pauseRound();
await cutRound();
await outageRound();
await slowRound();
await flapRound();
await lostAnswerRound();
await raceRound();

const after = await sightAll(deployment);
const seconds = (Date.now() - countedFrom) / 1_000;
const changes = (await probe.standing()).version - 1;
await load;
const checked = audit(outcomes, await deployment.filings());
const report = summarise(outcomes);
const violations = await deployment.violations();
await fleet.stopAll();
rmSync(dir, { recursive: true });
const rate = (read: (one: Sighting) => number) =>
  (total(after, read) - total(before, read)) / seconds;
probe.expect(
  probe.lastNewWork.quantile(1) <= ORDER_BOUND_MS,
  "last new work in time",
);
probe.expect(
  probe.inForce.quantile(1) <= CHANGE_BOUND_MS,
  "changes in force in time",
);
const broken = checked.doubled + checked.lost + checked.misdelivered +
  checked.falselyNotRun + violations + probe.failed.length;
console.log(
  `processes=${after.length} changes=${changes} ` +
    `${quantiles("in_force", probe.inForce)} bound_ms=${CHANGE_BOUND_MS} ` +
    `${
      quantiles("last_new_work", probe.lastNewWork)
    } bound_ms=${ORDER_BOUND_MS} ` +
    `reads_per_s=${rate(({ reads }) => reads).toFixed(1)} ` +
    `writes_per_s=${rate(({ writes }) => writes).toFixed(1)} ` +
    `requests=${outcomes.length} attainment=${report.attainment.toFixed(4)} ` +
    `false_not_run=${checked.falselyNotRun} doubled=${checked.doubled} ` +
    `lost=${checked.lost} misdelivered=${checked.misdelivered} ` +
    `invariant_violations=${violations} failed_checks=${probe.failed.length}`,
);
process.exitCode = broken === 0 ? 0 : 1;

/** Orders on a fleet without faults. */
async function plainRounds(): Promise<void> {
  for (let i = 0; i < 4; i += 1) {
    await probe.order("plain", { out: true });
    await probe.order("plain", { out: false });
  }
}

/** An order while an agent and an entry are dead. */
async function killRound(): Promise<void> {
  const killed = [fleet.names("agent-")[0], fleet.names("entry-")[0]]
    .filter((name) => name !== undefined);
  killed.forEach((name) => fleet.signal(name, "SIGKILL"));
  const end = await probe.order("kill", { out: true });
  killed.forEach((name) =>
    probe.expect(end.stdout.includes(name), `kill: the command names ${name}`)
  );
  killed.forEach((name) => fleet.restart(name));
  await deployment.ready();
  await probe.order("kill", { out: false });
}

/** An order while an agent of the ordered domain is paused. */
async function pauseRound(): Promise<void> {
  const paused = topology.agents.find((one) => one.domain === domain)?.name ??
    "";
  fleet.signal(paused, "SIGSTOP");
  const resume = sleep(PAUSE_MS).then(() => fleet.signal(paused, "SIGCONT"));
  await probe.order("pause", { out: true });
  await resume;
  await probe.order("pause", { out: false });
}

/** Orders on a domain whose processes do not reach the table service. */
async function cutRound(): Promise<void> {
  await setFaults(deployment, { outage: true }, domain);
  await sleep(SETTLE_MS);
  await probe.order("cut", { out: true });
  await setFaults(deployment, { outage: false }, domain);
  await probe.order("cut", { out: false });
}

/** Work goes on in an outage; a restarted process learns from its peers. */
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
  const seen = await sightAll(deployment);
  probe.expect(
    seen.every((one) => one.takesWork && one.version === version),
    `outage: ${seen.filter((one) => one.takesWork).length} of ` +
      `${seen.length} take work`,
  );
  await setFaults(deployment, { outage: false });
  await probe.order("outage", { out: true });
  await probe.order("outage", { out: false });
}

/** Orders while the table service answers too slowly for the processes. */
async function slowRound(): Promise<void> {
  await setFaults(deployment, { slowMs: SLOW_MS });
  await sleep(2 * SETTLE_MS);
  const seen = await sightAll(deployment);
  const working = seen.filter((one) => one.takesWork).length;
  probe.expect(
    working === seen.length,
    `slow: ${working} of ${seen.length} work`,
  );
  await probe.order("slow", { out: true });
  await setFaults(deployment, { slowMs: 0 });
  await probe.order("slow", { out: false });
}

/** Orders while the table service comes and goes. */
async function flapRound(): Promise<void> {
  await setFaults(deployment, { flapMs: FLAP_MS });
  for (const out of [true, false]) {
    const end = await probe.orderUntilDone(out);
    const action = out ? "out" : "in";
    probe.expect(end.code === 0, `flap: domain ${action} is in force`);
  }
  await setFaults(deployment, { flapMs: 0 });
}

/** Orders whose answers are lost half of the time are reported truthfully. */
async function lostAnswerRound(): Promise<void> {
  await setFaults(deployment, { loseAnswers: 0.5 });
  for (const out of [true, false, true, false]) {
    const action = out ? "out" : "in";
    const end = await probe.orderUntilDone(out);
    const { domainsOut } = (await probe.standing()).availability;
    probe.expect(
      end.code !== 0 || domainsOut.includes(domain) === out,
      `lost answers: domain ${action} is told truthfully`,
    );
  }
  await setFaults(deployment, { loseAnswers: 0 });
}

/** Operators who race: one file is accepted, the others are told. */
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
  const ends = await Promise.all([
    ...files.map((file) => runCommand(deployment, ["lists", "apply", file])),
    runCommand(deployment, ["domain", "out", domain]),
    runCommand(deployment, ["domain", "in", domain]),
  ]);
  const applied = ends.slice(0, files.length);
  const winners = applied.filter(({ code }) => code === 0);
  probe.expect(
    winners.length <= 1,
    `race: ${winners.length} files were accepted`,
  );
  const losers = applied.filter(({ code }) => code !== 0);
  probe.expect(
    losers.every(isTold),
    `race: the losers are told what changed:\n${
      losers.map(({ stderr }) => stderr).join("")
    }`,
  );
  const { organisations } = (await probe.standing()).organisations;
  const raced = organisations.filter(({ id }) => id.startsWith("raced-"));
  probe.expect(
    raced.length === winners.length,
    `race: ${raced.length} of the files stand`,
  );
  const bad = join(dir, "bad.json");
  const faulty = { organisations: [{ id: "A" }, { id: "A" }], plans: 1 };
  writeFileSync(bad, JSON.stringify(faulty));
  const refused = await runCommand(deployment, ["lists", "apply", bad]);
  const found = refused.stderr.split("\n").filter((l) => l.startsWith("$."));
  probe.expect(
    refused.code === 2 && found.length > 4,
    `race: a bad file is refused with ${found.length} findings`,
  );
}

/** True when a command was refused with a difference, or with none left. */
function isTold({ code, stderr }: CommandEnd): boolean {
  return code === 1 && /^[~+-] |still differs/m.test(stderr);
}

function total(
  seen: readonly Sighting[],
  read: (one: Sighting) => number,
): number {
  return seen.reduce((sum, one) => sum + read(one), 0);
}

function quantiles(name: string, times: Durations): string {
  return `${name}_count=${times.count} ` +
    [0.5, 0.95, 1].map((q) =>
      `${name}_${q === 1 ? "max" : `p${q * 100}`}_ms=` +
      `${Math.round(times.quantile(q))}`
    ).join(" ");
}
