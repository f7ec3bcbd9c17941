import assert from "node:assert/strict";
import { test } from "node:test";
import type { Result } from "neverthrow";
import { monotonicMs, seededRandom, sleep } from "../kernel/mod.ts";
import type { Refusal, StageResult } from "../model/mod.ts";
import { PIPELINES } from "./callers.ts";
import { withPausedClock } from "../testing/mod.ts";
import { type FleetFaults, noFaults, SimFleet } from "./sim_fleet.ts";

const DEADLINE_MS = 4_000;
const SEED = 1;

interface Request {
  fleet: SimFleet;
  pipeline?: string;
  key?: string;
  entry?: number;
}

const createFleet = (opts: { file?: number } = {}) =>
  new SimFleet({
    pools: { encode: 2, file: opts.file ?? 2 },
    entries: 2,
    random: seededRandom(7),
    faults: noFaults(),
  });

/** Sends a request, with an idempotency key of the caller if one is given. */
const send = ({ fleet, pipeline = "filing", key, entry = 0 }: Request) => {
  const { runner, simProcess } = fleet
    .entries[entry] as typeof fleet.entries[0];
  return runner.run({
    requestId: `r${fleet.log.next()}`,
    organisation: { id: "c", plan: "p", keySha256: "" },
    plan: { name: "p", weight: 1, maxConcurrent: 9, pipelines: [] },
    spec: PIPELINES.find(({ name }) => name === pipeline) ?? assert.fail(),
    key: key ?? `own-${fleet.log.next()}`,
    keyGiven: key !== undefined,
    input: { marker: "m" },
    deadlineAt: monotonicMs() + DEADLINE_MS,
    listsVersion: 1,
    signal: simProcess.exitSignal,
  });
};
const outcomeOf = (outcome: Result<readonly StageResult[], Refusal>) =>
  outcome.match(
    (results) => results.at(-1)?.replayed ? "replayed" : "done",
    ({ reason, proof }) => `${proof} ${reason}`,
  );
const countFilings = (fleet: SimFleet) =>
  fleet.log.executions.filter(({ key }) => key !== "").length;
const simulate = (task: () => Promise<void>) =>
  withPausedClock(task, { seed: SEED });
const set = <K extends keyof FleetFaults>(
  fleet: SimFleet,
  kind: K,
  faults: Partial<FleetFaults[K]>,
) => Object.assign(fleet.faults[kind], faults);

/*
 * Guards against confirm() of the runner returning the refusal unchanged: the
 * key stays open, and the delayed call of the first request runs although the
 * caller has received "not run".
 */
test("a repeat reported as not run closes the key to a delayed call", () =>
  simulate(async () => {
    const fleet = createFleet();
    const first = send({ fleet, key: "k" });
    first.catch(() => {});
    await sleep(5);
    set(fleet, "link", { delayed: 1 });
    await sleep(50);
    fleet.entries[0]?.simProcess.kill();
    set(fleet, "link", { delayed: 0 });
    set(fleet, "target", { refuse: 1 });
    const repeat = await send({ fleet, key: "k", entry: 1 });
    set(fleet, "target", { refuse: 0 });
    await sleep(20_000);
    assert.match(outcomeOf(repeat), /^not-run/);
    assert.equal(countFilings(fleet), 0);
    fleet.stop();
  }));

test("a repeat of a done filing returns its result and runs no stage", () =>
  simulate(async () => {
    const fleet = createFleet();
    assert.equal(outcomeOf(await send({ fleet, key: "k" })), "done");
    const before = fleet.log.executions.length;
    const repeat = await send({ fleet, key: "k", entry: 1 });
    assert.equal(outcomeOf(repeat), "replayed");
    assert.equal(fleet.log.executions.length, before);
    fleet.stop();
  }));

/*
 * Fails when the entry has no checkpoints: the second entry then runs the
 * stages of the first one again.
 */
test("a durable request continues at another entry after the first died", () =>
  simulate(async () => {
    const fleet = createFleet();
    set(fleet, "target", { maxCallMs: 200 });
    const pipeline = "summary";
    void send({ fleet, pipeline, key: "k" });
    while (fleet.log.executions.length < 2) await sleep(1);
    await sleep(5);
    fleet.entries[0]?.simProcess.kill();
    const repeat = await send({ fleet, pipeline, key: "k", entry: 1 });
    assert.equal(outcomeOf(repeat), "done");
    const runs = fleet.log.executions.filter(({ callId }) =>
      callId.includes("/encode/")
    );
    assert.equal(runs.length, 1);
    const again = await send({ fleet, pipeline, key: "k", entry: 1 });
    assert.equal(outcomeOf(again), "replayed");
    fleet.stop();
  }));

test("a paused agent and its replacement run a key once", () =>
  simulate(async () => {
    const fleet = createFleet({ file: 1 });
    const target = fleet.targets.find(({ pool }) => pool === "file") ??
      assert.fail();
    const oldProcess = fleet.agent(target).simProcess;
    const first = send({ fleet, key: "k" });
    while (fleet.metrics.total("stage_calls_total") < 1) await sleep(1);
    oldProcess.pause();
    fleet.startAgent(target);
    const repeat = send({ fleet, key: "k", entry: 1 });
    await Promise.all([first, repeat]);
    oldProcess.resume();
    await sleep(60_000);
    assert.equal(countFilings(fleet), 1);
    fleet.stop();
  }));

/*
 * Fails when response streams may be silent without limit: the request then
 * waits until its deadline.
 */
test("a silent connection is abandoned and a filing meets its deadline", () =>
  simulate(async () => {
    const fleet = createFleet();
    set(fleet, "link", { silent: 1 });
    const startedAt = monotonicMs();
    const pending = send({ fleet, key: "k" });
    await sleep(1_700);
    set(fleet, "link", { silent: 0 });
    assert.match(outcomeOf(await pending), /^(done|replayed)$/);
    assert.ok(monotonicMs() - startedAt < DEADLINE_MS);
    assert.equal(countFilings(fleet), 1);
    fleet.stop();
  }));

test("an outage of the table refuses filings at once and nothing else", () =>
  simulate(async () => {
    const fleet = createFleet();
    set(fleet, "table", { outage: true });
    const startedAt = monotonicMs();
    assert.equal(
      outcomeOf(await send({ fleet })),
      "not-run platform-unavailable",
    );
    assert.equal(
      outcomeOf(await send({ fleet, key: "k" })),
      "outcome-unknown platform-unavailable",
    );
    assert.ok(monotonicMs() - startedAt < 200);
    const summary = await send({ fleet, pipeline: "summary", key: "s" });
    assert.equal(outcomeOf(summary), "done");
    assert.equal(countFilings(fleet), 0);
    fleet.stop();
  }));

test("a filing that fails after it ran is unknown and never runs again", () =>
  simulate(async () => {
    const fleet = createFleet();
    set(fleet, "target", { failAfterRun: 1 });
    const pipeline = "filing";
    const first = await send({ fleet, pipeline: "two-filings", key: "k" });
    assert.equal(outcomeOf(first), "outcome-unknown target-failed");
    set(fleet, "target", { failAfterRun: 0 });
    const repeat = await send({ fleet, pipeline: "two-filings", key: "k" });
    assert.equal(outcomeOf(repeat), "outcome-unknown key-unknown");
    assert.equal(countFilings(fleet), 1);
    assert.equal(outcomeOf(await send({ fleet, pipeline, key: "j" })), "done");
    fleet.stop();
  }));

/* Fails when hedgeAfterMs() returns undefined, so that no call is hedged. */
test("a slow idempotent call is hedged within the budget", () =>
  simulate(async () => {
    const fleet = createFleet();
    for (let i = 0; i < 60; i += 1) {
      await send({ fleet, pipeline: "summary", key: `w${i}` });
    }
    set(fleet, "target", { mute: 1 });
    const pending = send({ fleet, pipeline: "summary", key: "slow" });
    await sleep(10);
    set(fleet, "target", { mute: 0 });
    const startedAt = monotonicMs();
    assert.equal(outcomeOf(await pending), "done");
    assert.ok(monotonicMs() - startedAt < 1_000);
    assert.ok(fleet.metrics.total("hedges_total") > 0);
    assert.ok(fleet.metrics.total("stage_wasted_ms_total") > 0);
    fleet.stop();
  }));
