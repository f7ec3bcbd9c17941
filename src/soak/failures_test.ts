import assert from "node:assert/strict";
import { test } from "node:test";
import type { Result } from "neverthrow";
import { monotonicMs, seededRandom, sleep } from "../kernel/mod.ts";
import type { Refusal, StageResult } from "../model/mod.ts";
import { PIPELINES } from "./callers.ts";
import { underPausedClock } from "../testing/mod.ts";
import { type FleetFaults, noFaults, SimFleet } from "./sim_fleet.ts";

const DEADLINE_MS = 4_000;
const SEED = 1;

interface Request {
  fleet: SimFleet;
  pipeline?: string;
  key?: string;
  entry?: number;
}

const fleetOf = (opts: { file?: number } = {}) =>
  new SimFleet({
    pools: { encode: 2, file: opts.file ?? 2 },
    entries: 2,
    random: seededRandom(7),
    faults: noFaults(),
  });

/** Sends a request; keys are the caller's unless left out. */
const send = ({ fleet, pipeline = "filing", key, entry = 0 }: Request) => {
  const { runner, shell } = fleet.entries[entry] as typeof fleet.entries[0];
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
    signal: shell.death,
  });
};
const told = (outcome: Result<readonly StageResult[], Refusal>) =>
  outcome.match(
    (results) => results.at(-1)?.replayed ? "replayed" : "done",
    ({ reason, proof }) => `${proof} ${reason}`,
  );
const filings = (fleet: SimFleet) =>
  fleet.log.executions.filter(({ key }) => key !== "").length;
const inTime = (task: () => Promise<void>) =>
  underPausedClock(task, { seed: SEED });
const set = <K extends keyof FleetFaults>(
  fleet: SimFleet,
  kind: K,
  faults: Partial<FleetFaults[K]>,
) => Object.assign(fleet.faults[kind], faults);

/* Seen to fail with confirm() of the runner giving the refusal unchanged. */
test("a repeat told not run closes the key for a call still on its way", () =>
  inTime(async () => {
    const fleet = fleetOf();
    const first = send({ fleet, key: "k" });
    first.catch(() => {});
    await sleep(5);
    set(fleet, "link", { delayed: 1 });
    await sleep(50);
    fleet.entries[0]?.shell.kill();
    set(fleet, "link", { delayed: 0 });
    set(fleet, "target", { refuse: 1 });
    const repeat = await send({ fleet, key: "k", entry: 1 });
    set(fleet, "target", { refuse: 0 });
    await sleep(20_000);
    assert.match(told(repeat), /^not-run/);
    assert.equal(filings(fleet), 0);
    fleet.stop();
  }));

test("a repeat of a done filing gets its result and runs no stage", () =>
  inTime(async () => {
    const fleet = fleetOf();
    assert.equal(told(await send({ fleet, key: "k" })), "done");
    const before = fleet.log.executions.length;
    const repeat = await send({ fleet, key: "k", entry: 1 });
    assert.equal(told(repeat), "replayed");
    assert.equal(fleet.log.executions.length, before);
    fleet.stop();
  }));

/* Seen to fail with the checkpoints left out of the entry. */
test("a durable request goes on from another entry after the first died", () =>
  inTime(async () => {
    const fleet = fleetOf();
    set(fleet, "target", { maxMs: 200 });
    const pipeline = "summary";
    void send({ fleet, pipeline, key: "k" });
    while (fleet.log.executions.length < 2) await sleep(1);
    await sleep(5);
    fleet.entries[0]?.shell.kill();
    const repeat = await send({ fleet, pipeline, key: "k", entry: 1 });
    assert.equal(told(repeat), "done");
    const runs = fleet.log.executions.filter(({ callId }) =>
      callId.includes("/encode/")
    );
    assert.equal(runs.length, 1);
    const again = await send({ fleet, pipeline, key: "k", entry: 1 });
    assert.equal(told(again), "replayed");
    fleet.stop();
  }));

test("a paused agent and its replacement run a key once", () =>
  inTime(async () => {
    const fleet = fleetOf({ file: 1 });
    const target = fleet.targets.find(({ pool }) => pool === "file") ??
      assert.fail();
    const old = fleet.agent(target).shell;
    const first = send({ fleet, key: "k" });
    while (fleet.metrics.total("stage_calls_total") < 1) await sleep(1);
    old.pause();
    fleet.startAgent(target);
    const repeat = send({ fleet, key: "k", entry: 1 });
    await Promise.all([first, repeat]);
    old.resume();
    await sleep(60_000);
    assert.equal(filings(fleet), 1);
    fleet.stop();
  }));

/* Seen to fail with an endless silence allowed on answer streams. */
test("a silent connection is abandoned and the filing settled in time", () =>
  inTime(async () => {
    const fleet = fleetOf();
    set(fleet, "link", { silent: 1 });
    const startedAt = monotonicMs();
    const pending = send({ fleet, key: "k" });
    await sleep(1_700);
    set(fleet, "link", { silent: 0 });
    assert.match(told(await pending), /^(done|replayed)$/);
    assert.ok(monotonicMs() - startedAt < DEADLINE_MS);
    assert.equal(filings(fleet), 1);
    fleet.stop();
  }));

test("an outage of the table refuses filings at once and nothing else", () =>
  inTime(async () => {
    const fleet = fleetOf();
    set(fleet, "table", { outage: true });
    const startedAt = monotonicMs();
    assert.equal(
      told(await send({ fleet })),
      "not-run platform-unavailable",
    );
    assert.equal(
      told(await send({ fleet, key: "k" })),
      "outcome-unknown platform-unavailable",
    );
    assert.ok(monotonicMs() - startedAt < 200);
    const summary = await send({ fleet, pipeline: "summary", key: "s" });
    assert.equal(told(summary), "done");
    assert.equal(filings(fleet), 0);
    fleet.stop();
  }));

test("a filing whose answer was lost stays unknown, and is never repeated", () =>
  inTime(async () => {
    const fleet = fleetOf();
    set(fleet, "target", { failAfter: 1 });
    const pipeline = "filing";
    const first = await send({ fleet, pipeline: "two-filings", key: "k" });
    assert.equal(told(first), "outcome-unknown target-failed");
    set(fleet, "target", { failAfter: 0 });
    const repeat = await send({ fleet, pipeline: "two-filings", key: "k" });
    assert.equal(told(repeat), "outcome-unknown key-unknown");
    assert.equal(filings(fleet), 1);
    assert.equal(told(await send({ fleet, pipeline, key: "j" })), "done");
    fleet.stop();
  }));

/* Seen to fail with hedgeAfterMs() giving undefined. */
test("a slow idempotent call is hedged within the budget", () =>
  inTime(async () => {
    const fleet = fleetOf();
    for (let i = 0; i < 60; i += 1) {
      await send({ fleet, pipeline: "summary", key: `w${i}` });
    }
    set(fleet, "target", { mute: 1 });
    const pending = send({ fleet, pipeline: "summary", key: "slow" });
    await sleep(10);
    set(fleet, "target", { mute: 0 });
    const startedAt = monotonicMs();
    assert.equal(told(await pending), "done");
    assert.ok(monotonicMs() - startedAt < 1_000);
    assert.ok(fleet.metrics.total("hedges_total") > 0);
    assert.ok(fleet.metrics.total("stage_wasted_ms_total") > 0);
    fleet.stop();
  }));
