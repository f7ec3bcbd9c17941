import assert from "node:assert/strict";
import { err, ok, type Result } from "neverthrow";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { RolloutWritten } from "../rollout/mod.ts";
import { RouteKind, versionInEra } from "../serving/mod.ts";
import { catalogChange, route, targetChange } from "../serving/testing.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { FleetView } from "./fleet_view.ts";
import {
  type SourceError,
  StatePart,
  type StateRead,
  type StateSource,
} from "./ports.ts";

/** Peer that reports the changes. */
const PEER = { peer: "b", targetsReadAt: 0 };

const BOUNDS = { contactMs: 3_000, drainMs: 2_000 };

/** Time for which the store fails in tests of its return, in ms. */
const FAILS_MS = 1_000;
/** Time at which a target is removed in such a test, in ms. */
const REMOVED_MS = 2_500;
/** Time that targets have to be listed again after an outage, in ms. */
const RETURN_MS = 2_000;

/** Version below which the fake store no longer holds the changes. */
const OLDEST_VERSION = 10;

/**
 * A store that can discard its history of changes; an entry that is behind then
 * has to read a snapshot.
 */
class TruncatingSource implements StateSource {
  rows: StateRead = { changes: [targetChange("a", 3)], version: 5 };
  hasLostHistory = false;

  snapshot(): Promise<Result<StateRead, SourceError>> {
    return Promise.resolve(ok(this.rows));
  }

  async follow(
    _part: StatePart,
    from: { after: number; waitMs: number },
    signal: AbortSignal,
  ): Promise<Result<StateRead, SourceError>> {
    if (this.hasLostHistory && from.after < OLDEST_VERSION) {
      return err({ kind: "history-lost" });
    }
    await sleep(from.waitMs, signal);
    return ok({ changes: [], version: from.after });
  }

  register(): Promise<Result<void, SourceError>> {
    return Promise.resolve(ok());
  }

  readonly origins = {
    write: () => Promise.resolve(ok()),
    read: () => Promise.resolve(ok({ defaults: { era: 0 }, rows: [] })),
    readDefaults: () => Promise.resolve(ok({ era: 0 })),
    writeDefaults: () => Promise.resolve(ok(true)),
  };

  recordQuarantines(): Promise<Result<void, SourceError>> {
    return Promise.resolve(ok());
  }

  recordBuilds(): Promise<Result<void, SourceError>> {
    return Promise.resolve(ok());
  }

  recordRollout(): Promise<Result<RolloutWritten, SourceError>> {
    return Promise.resolve(ok({ isWritten: true, changes: [] }));
  }
}

test("FleetView reads a snapshot although peers report older versions", () =>
  withPausedClock(async () => {
    const source = new TruncatingSource();
    const view = new FleetView({
      bounds: BOUNDS,
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    const abort = new AbortController();
    view.run(abort.signal);
    await sleep(1_000);
    source.hasLostHistory = true;
    source.rows = { changes: [targetChange("b", 12)], version: 12 };
    for (let i = 0; i < 20; i++) {
      await sleep(200);
      view.merge([], { [StatePart.Targets]: 5 }, PEER);
    }
    assert.deepEqual(
      [...view.state.targets].filter(([, { target }]) => target)
        .map(([id]) => id),
      ["b"],
    );
    abort.abort();
  }, { seed: 1 }));

test("a listener that throws does not keep a change from the others", () =>
  withPausedClock(async () => {
    const view = new FleetView({
      bounds: BOUNDS,
      source: new TruncatingSource(),
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    let heard = 0;
    view.onChange(() => {
      throw new Error("faulty listener");
    });
    view.onChange(() => heard += 1);
    const abort = new AbortController();
    view.run(abort.signal);
    await sleep(10);
    abort.abort();
    assert.ok(heard > 0);
  }, { seed: 1 }));

[{ drainMs: 2_000, most: 30 }, { drainMs: 4_000, most: 16 }].forEach((
  { drainMs, most },
) =>
  test(`targets that change all the time are read as often as ${drainMs} ms of drain time need`, () =>
    withPausedClock(async () => {
      const source = new TruncatingSource();
      let reads = 0;
      source.follow = async (part, { after }, signal) => {
        if (part === StatePart.Targets) reads += 1;
        else await sleep(1_000, signal);
        return ok({ changes: [], version: after + 1 });
      };
      const view = new FleetView({
        bounds: { contactMs: 3_000, drainMs },
        source,
        log: SILENT_LOGGER,
        metrics: new Metrics(),
      });
      const abort = new AbortController();
      view.run(abort.signal);
      await sleep(10_000);
      abort.abort();
      assert.ok(reads <= most && reads > most / 2, `${reads} reads`);
    }, { seed: 1 }))
);

test("a target that is removed after the store has returned is gone in time", () =>
  withPausedClock(async () => {
    const source = new TruncatingSource();
    const startAt = monotonicMs();
    const ageMs = () => monotonicMs() - startAt;
    source.follow = async (part, { after }, signal) => {
      await sleep(100, signal);
      if (ageMs() < FAILS_MS) return err({ kind: "unreachable", detail: "" });
      if (part !== StatePart.Targets || ageMs() < REMOVED_MS) {
        return ok({ changes: [], version: after });
      }
      const removed = { kind: "target", version: 9, id: "a" } as const;
      return ok({ changes: [removed], version: 9 });
    };
    const view = new FleetView({
      bounds: BOUNDS,
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    const abort = new AbortController();
    view.run(abort.signal);
    const isUsed = () => view.state.usable("plain", monotonicMs()).length > 0;
    await sleep(REMOVED_MS - 100);
    assert.equal(isUsed(), true);
    await sleep(FAILS_MS + RETURN_MS - ageMs() + 200);
    abort.abort();
    assert.equal(isUsed(), false);
  }, { seed: 1 }));

test("a target whose row lapsed in an outage stays in use until it had time to return", () =>
  withPausedClock(async () => {
    const source = new TruncatingSource();
    const startAt = monotonicMs();
    source.follow = async (part, { after }, signal) => {
      await sleep(100, signal);
      if (monotonicMs() - startAt < FAILS_MS) {
        return err({ kind: "unreachable", detail: "" });
      }
      const removed = { kind: "target", version: 9, id: "a" } as const;
      const changes = part === StatePart.Targets ? [removed] : [];
      return ok({ changes, version: Math.max(after, 9) });
    };
    const view = new FleetView({
      bounds: BOUNDS,
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    const abort = new AbortController();
    view.run(abort.signal);
    await sleep(FAILS_MS + RETURN_MS - 500);
    assert.equal(view.state.usable("plain", monotonicMs()).length, 1);
    await sleep(1_000);
    abort.abort();
    assert.equal(view.state.usable("plain", monotonicMs()).length, 0);
  }, { seed: 1 }));

// Guards against an order that an entry never reads, since a peer of an older
// build, which knows no orders, has told a newer version.
test("FleetView reads changes that a peer of an older build leaves out", () =>
  withPausedClock(async () => {
    const source = new TruncatingSource();
    let isReachable = true;
    source.follow = async (part, { after, waitMs }, signal) => {
      await sleep(Math.min(waitMs, 100), signal);
      if (!isReachable) return err({ kind: "unreachable", detail: "" });
      const isRead = part !== StatePart.Configuration || after >= 20;
      return ok({
        changes: isRead ? [] : [{
          kind: "rollout-order",
          version: 20,
          pool: "plain",
          order: { to: "v2", durationMs: 12_000 },
        }],
        version: Math.max(after, 20),
      });
    };
    const view = new FleetView({
      bounds: BOUNDS,
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    isReachable = false;
    const abort = new AbortController();
    view.run(abort.signal);
    // In the pause after the second call that has failed.
    await sleep(600);
    view.merge([], { [StatePart.Configuration]: 20 }, {
      ...PEER,
      knowsRollouts: false,
    });
    isReachable = true;
    await sleep(1_000);
    abort.abort();
    assert.equal(view.state.rollouts.of("plain")?.order.to, "v2");
  }, { seed: 1 }));

test("a restoration that a peer tells during a call is followed by a snapshot", () =>
  withPausedClock(async () => {
    const source = new TruncatingSource();
    let snapshots = 0;
    source.snapshot = () => {
      snapshots += 1;
      return Promise.resolve(ok(source.rows));
    };
    source.follow = async (_part, { after }, signal) => {
      await sleep(1_000, signal);
      return ok({ changes: [], version: after });
    };
    const view = new FleetView({
      bounds: BOUNDS,
      source,
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    const abort = new AbortController();
    view.run(abort.signal);
    // The call of the part runs from 1 s to 2 s.
    await sleep(1_500);
    const before = snapshots;
    view.merge([], { [StatePart.Peers]: versionInEra(1, 2) }, PEER);
    await sleep(5_000);
    abort.abort();
    assert.equal(snapshots, before + 1);
  }, { seed: 1 }));

test("the standing of a catalog tells who brought it, and who confirmed it when", () =>
  withPausedClock(async () => {
    const view = new FleetView({
      bounds: BOUNDS,
      source: new TruncatingSource(),
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    view.merge([catalogChange({ version: 7 })], {}, PEER);
    await sleep(500);
    assert.deepEqual(view.catalogStanding, {
      catalog: 7,
      from: "b",
      inForceMs: 500,
      confirmedMs: undefined,
    });
    const configurationReadAt = monotonicMs() - 200;
    view.merge([], {}, { ...PEER, configurationReadAt });
    await sleep(100);
    assert.equal(view.catalogStanding.confirmedMs, 300);
  }, { seed: 1 }));

// Guards against ORDER: the record of a stream ends before the stream.
test("routes whose responses may outlast a record have no default origins", () => {
  const view = new FleetView({
    source: new TruncatingSource(),
    bounds: BOUNDS,
    log: SILENT_LOGGER,
    metrics: new Metrics(),
  });
  const unread = view.observedOrigins;
  assert.equal(unread, undefined);
  const routes = [5_000, 50_000, 120_000].map((timeoutMs) =>
    route({
      pathPrefix: `/${timeoutMs}/`,
      kind: RouteKind.Stream,
      isResumable: true,
      timeoutMs,
    })
  );
  const changes = [
    catalogChange({ routes }, 1),
    targetChange("t1", 1, { pool: "plain", build: "v1" }),
  ];
  const versions = { configuration: 1, targets: 1, peers: 1 };
  view.merge(changes, versions, PEER);
  const observed = view.observedOrigins;
  assert.deepEqual(observed?.builds, [{ pool: "plain", build: "v1" }]);
  assert.deepEqual(
    observed?.routes.map(({ address }) => address.pathPrefix),
    ["/5000/", "/50000/"],
  );
});
