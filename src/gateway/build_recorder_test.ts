import assert from "node:assert/strict";
import { err, ok, type Result } from "neverthrow";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { type PoolBuild, RouteKind, type StateChange } from "../serving/mod.ts";
import {
  catalogChange,
  pool,
  route,
  targetChange,
} from "../serving/testing.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { BuildRecorder } from "./build_recorder.ts";
import { FleetView } from "./fleet_view.ts";
import { type SourceError, StatePart, type StateSource } from "./ports.ts";

/** Peer that reports the changes. */
const PEER = { peer: "b", targetsReadAt: 0 };

const BOUNDS = { contactMs: 3_000, drainMs: 2_000 };

const MINUTE_MS = 60_000;
/** Writes that one entry makes in a minute at most. */
const MAX_WRITES_PER_MINUTE = 4;

/** Store whose writes reach the views of all entries after a moment. */
class SharedRecords implements Pick<StateSource, "recordBuilds"> {
  readonly views: FleetView[] = [];
  readonly writes: string[] = [];
  isRefusing = false;
  #version = 100;

  async recordBuilds(
    builds: readonly PoolBuild[],
  ): Promise<Result<void, SourceError>> {
    this.writes.push(builds.map(({ build }) => build).join(","));
    if (this.isRefusing) return err({ kind: "unreachable", detail: "503" });
    await sleep(1_000);
    const changes = builds.map((one): StateChange => ({
      kind: "build",
      version: ++this.#version,
      ...one,
    }));
    this.views.forEach((view) =>
      view.merge(changes, { [StatePart.Peers]: this.#version }, PEER)
    );
    return ok();
  }
}

const CATALOG = catalogChange({
  routes: [
    route({ kind: RouteKind.Stream, isResumable: true }),
    route({ name: "once", pools: [{ pool: "once", weight: 1 }] }),
  ],
  pools: [pool("plain"), pool("once")],
});

/** Starts the recorders of entries that know the same targets. */
function startEntries(records: SharedRecords, count: number) {
  const abort = new AbortController();
  const names = Array.from({ length: count }, (_, i) => `entry-${i}`);
  names.forEach((self) => {
    const view = new FleetView({
      bounds: BOUNDS,
      source: {} as StateSource,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    records.views.push(view);
    const processes = () => names;
    new BuildRecorder({
      view,
      source: records,
      self,
      processes,
      log: SILENT_LOGGER,
    })
      .run(abort.signal);
  });
  return abort;
}

function list(records: SharedRecords, changes: readonly StateChange[]): void {
  records.views.forEach((view) =>
    view.merge(changes, { [StatePart.Peers]: 1 }, PEER)
  );
}

const LISTED = [
  CATALOG,
  targetChange("a", 2, { build: "v1" }),
  targetChange("b", 3, { build: "v2" }),
  targetChange("c", 4, { build: "v1", pool: "once" }),
];

test("BuildRecorder writes each build of resumable streams once for all entries", () =>
  withPausedClock(async () => {
    const records = new SharedRecords();
    const abort = startEntries(records, 8);
    list(records, LISTED);
    await sleep(MINUTE_MS);
    assert.deepEqual(records.writes.join(",").split(",").sort(), ["v1", "v2"]);
    list(records, [targetChange("d", 5, { build: "v3" })]);
    await sleep(MINUTE_MS);
    assert.equal(records.writes.at(-1), "v3");
    assert.equal(records.writes.join(",").split(",").length, 3);
    abort.abort();
  }, { seed: 1 }));

test("BuildRecorder retries a few times a minute until the store accepts", () =>
  withPausedClock(async () => {
    const records = new SharedRecords();
    records.isRefusing = true;
    const abort = startEntries(records, 1);
    list(records, LISTED);
    await sleep(5 * MINUTE_MS);
    const refused = records.writes.length;
    assert.ok(refused > 5, `${refused} writes`);
    assert.ok(refused <= 5 * MAX_WRITES_PER_MINUTE, `${refused} writes`);
    records.isRefusing = false;
    await sleep(MINUTE_MS);
    assert.equal(records.writes.length, refused + 1);
    assert.deepEqual(records.views[0]?.state.unrecordedBuilds(), []);
    abort.abort();
  }, { seed: 2 }));

test("BuildRecorder writes nothing before it has read the records", () =>
  withPausedClock(async () => {
    const records = new SharedRecords();
    const abort = startEntries(records, 1);
    records.views[0]?.merge(LISTED, {}, PEER);
    await sleep(MINUTE_MS);
    assert.deepEqual(records.writes, []);
    abort.abort();
  }, { seed: 3 }));
