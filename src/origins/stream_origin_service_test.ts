import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { ORIGIN_KEEPERS, ORIGIN_TTL_MS } from "../serving/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import {
  type EntryMode,
  MemoryOriginStore,
  ROUTE,
  SimOriginFleet,
} from "./testing.ts";

const ENTRIES = 8;
const STREAMS = 20;
/** Time within which records are with their keepers, in milliseconds. */
const SHARED_MS = 300;
/** Time within which they are with others when keepers fail, in ms. */
const SHARED_ANEW_MS = 3_000;
/** Longest time that a lookup takes, in milliseconds. */
const FIND_MS = 320;
const TWO_BUILDS = new Set(["v1", "v2"]);

function withFleet(
  entries: number,
  body: (fleet: SimOriginFleet) => Promise<void>,
): Promise<void> {
  return withPausedClock(async () => {
    const fleet = new SimOriginFleet(entries);
    try {
      await body(fleet);
    } finally {
      fleet.stop();
    }
  }, { seed: 1 });
}

const streams = Array.from({ length: STREAMS }, (_, i) => `stream-${i}`);

function beginAll(fleet: SimOriginFleet): void {
  streams.forEach((stream, i) =>
    fleet.begin(0, stream, {
      pool: "plain",
      build: i % 2 === 0 ? "v1" : "v2",
    })
  );
}

/** Asks one entry for a stream; also checks how long that takes. */
async function find(fleet: SimOriginFleet, entry: number, stream?: string) {
  const startedAt = monotonicMs();
  const origin = await fleet.entry(entry).service.find({
    request: "req-1",
    stream,
    route: ROUTE,
  });
  assert.ok(monotonicMs() - startedAt <= FIND_MS);
  return origin;
}

async function assertAllFound(fleet: SimOriginFleet, entry: number) {
  for (const [i, stream] of streams.entries()) {
    const build = i % 2 === 0 ? "v1" : "v2";
    assert.deepEqual(await find(fleet, entry, stream), {
      pool: "plain",
      build,
    });
  }
}

function assertHolders(fleet: SimOriginFleet, count: number): void {
  streams.forEach((stream) =>
    assert.equal(fleet.holdersOf(stream).length, count, stream)
  );
}

test("every entry finds the origin of a stream while its pool has two builds", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
    for (let i = 0; i < ENTRIES; i++) await assertAllFound(fleet, i);
  }));

test("entries keep the origin of a stream after any two of its holders are lost", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    for (const lost of [1, 3, 5]) {
      const modes: EntryMode[] = ["refusing", "silent"];
      for (const mode of modes) {
        fleet.entry(0).mode = mode;
        fleet.entry(lost).mode = mode;
        for (const asking of [2, 4, 6]) await assertAllFound(fleet, asking);
        fleet.entry(0).mode = "up";
        fleet.entry(lost).mode = "up";
      }
    }
  }));

test("nothing is pushed while a pool has one build, and all once it has two", () =>
  withFleet(ENTRIES, async (fleet) => {
    beginAll(fleet);
    await sleep(SHARED_ANEW_MS);
    assertHolders(fleet, 1);
    fleet.builds = TWO_BUILDS;
    fleet.recheck();
    await sleep(SHARED_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
  }));

test("records are pushed once and not again while nothing changes", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    const calls = fleet.entries.map(({ received }) => received.keep);
    assert.ok(calls.every((count) => count <= 1));
    await sleep(SHARED_ANEW_MS);
    assert.deepEqual(fleet.entries.map(({ received }) => received.keep), calls);
  }));

test("records go to the next entry while a keeper is silent, refuses or is of an old build", async () => {
  for (const mode of ["silent", "refusing", "old"] as const) {
    await withFleet(ENTRIES, async (fleet) => {
      fleet.builds = TWO_BUILDS;
      fleet.entry(3).mode = mode;
      fleet.entry(4).mode = mode;
      beginAll(fleet);
      await sleep(SHARED_ANEW_MS);
      streams.forEach((stream) =>
        assert.ok(fleet.holdersOf(stream).length >= 1 + ORIGIN_KEEPERS)
      );
      fleet.entry(0).mode = "refusing";
      await assertAllFound(fleet, 7);
    });
  }
});

test("a keeper that is silent for a moment causes no copies at others", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    fleet.entry(3).mode = "silent";
    for (let i = 0; i < STREAMS; i++) {
      fleet.begin(0, `late-${i}`, { pool: "plain" });
    }
    await sleep(2 * SHARED_MS);
    fleet.entry(3).mode = "up";
    await sleep(SHARED_ANEW_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
    for (let i = 0; i < STREAMS; i++) {
      assert.ok(fleet.holdersOf(`late-${i}`).length > ORIGIN_KEEPERS);
    }
  }));

test("records are pushed again to keepers that have registered anew", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    for (let i = 1; i < ENTRIES; i++) fleet.restart(i, { registersAnew: true });
    await sleep(SHARED_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
  }));

test("records are pushed again to keepers whose receipts show a restart", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(SHARED_MS);
    for (let i = 1; i < ENTRIES; i++) {
      fleet.restart(i, { registersAnew: false });
    }
    await sleep(SHARED_MS);
    assertHolders(fleet, 1);
    for (let i = 0; i < 10 * ENTRIES; i++) {
      fleet.begin(0, `more-${i}`, { pool: "plain" });
    }
    await sleep(SHARED_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
  }));

test("a leaving entry acknowledges nothing and still answers", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    fleet.entry(5).service.leave();
    beginAll(fleet);
    await sleep(SHARED_ANEW_MS);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
    streams.forEach((stream) =>
      assert.ok(!fleet.holdersOf(stream).includes("entry-5"))
    );
    await assertAllFound(fleet, 5);
  }));

test("an unknown origin is that of the only build", () =>
  withFleet(ENTRIES, async (fleet) => {
    const v1 = { pool: "plain", build: "v1" };
    assert.deepEqual(await find(fleet, 1, "unknown"), v1);
    assert.deepEqual(await find(fleet, 1), v1);
    fleet.stale = fleet.names;
    assert.deepEqual(await find(fleet, 1, "unknown"), v1);
    fleet.builds = TWO_BUILDS;
    assert.equal(await find(fleet, 1, "unknown"), undefined);
    assert.equal(await find(fleet, 1), undefined);
  }));

test("an unknown origin is not guessed when a keeper knows of another build", () =>
  withFleet(4, async (fleet) => {
    fleet.ownBuilds.set("entry-2", TWO_BUILDS);
    assert.equal(await find(fleet, 1, "unknown"), undefined);
  }));

test("an unknown origin is not guessed by an entry that reaches neither store nor keepers", () =>
  withFleet(4, async (fleet) => {
    fleet.stale = fleet.names;
    fleet.entries.forEach((entry) => entry.mode = "silent");
    assert.equal(await find(fleet, 1, "unknown"), undefined);
  }));

test("an unknown origin is not guessed on the smaller side of a partition", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.stale = fleet.names;
    fleet.entries.slice(3).forEach((entry) => entry.mode = "refusing");
    for (let i = 0; i < STREAMS; i++) {
      const answers = ["entry-0", "entry-1", "entry-2"];
      for (const entry of answers.keys()) {
        const origin = await find(fleet, entry, `unknown-${i}`);
        assert.equal(origin, undefined);
      }
    }
    fleet.stale = fleet.names.filter((name) => name !== "entry-2");
    const origin = await find(fleet, 1, "unknown");
    assert.deepEqual(origin, { pool: "plain", build: "v1" });
  }));

test("an unknown origin is not guessed for a route with several pools", () =>
  withFleet(1, async (fleet) => {
    fleet.candidates = { pools: ["plain", "other"], isSure: true };
    assert.equal(await find(fleet, 0), undefined);
    assert.equal(await find(fleet, 0, "unknown"), undefined);
    fleet.candidates = { pools: ["plain"], isSure: false };
    assert.equal(await find(fleet, 0, "unknown"), undefined);
  }));

test("origins expire with the deadlines of their callers", () =>
  withFleet(ENTRIES, async (fleet) => {
    fleet.builds = TWO_BUILDS;
    beginAll(fleet);
    await sleep(ORIGIN_TTL_MS - 1_000);
    assertHolders(fleet, 1 + ORIGIN_KEEPERS);
    await sleep(2_000);
    assertHolders(fleet, 0);
  }));

test("a neighbour shares the copies of a lost entry once its pool has two builds", () =>
  withFleet(ENTRIES, async (fleet) => {
    const [owner, neighbour] = [fleet.entry(0), fleet.entry(5)];
    streams.forEach((stream) =>
      fleet.begin(0, stream, { pool: "plain", build: "v1" })
    );
    const sent = owner.service.backupFor("entry-5");
    assert.equal(sent.length, STREAMS);
    neighbour.service.keepBackup(sent);
    owner.service.backupHeld("entry-5", sent);
    assert.deepEqual(owner.service.backupFor("entry-5"), []);
    owner.mode = "refusing";
    await sleep(SHARED_MS);
    fleet.builds = TWO_BUILDS;
    fleet.recheck();
    await sleep(SHARED_MS);
    for (const stream of streams) {
      const expected = { pool: "plain", build: "v1" };
      assert.deepEqual(await find(fleet, 2, stream), expected);
    }
  }));

test("a neighbour that has restarted is sent all live copies again", () =>
  withFleet(2, async (fleet) => {
    const { service } = fleet.entry(0);
    fleet.begin(0, "stream-1", { pool: "plain", build: "v1" });
    service.backupHeld("entry-1", service.backupFor("entry-1"));
    service.backupLost("entry-1");
    assert.equal(service.backupFor("entry-1").length, 1);
    await sleep(ORIGIN_TTL_MS);
    assert.deepEqual(service.backupFor("entry-1"), []);
  }));

const POOLS = [{ pool: "plain", weight: 1 }];
const V1 = { pool: "plain", build: "v1" };
const V2 = { pool: "plain", build: "v2" };
/** Time after which the first default origins are written, in ms. */
const DEFAULTS_MS = 6_000;

/** Entries with a store, at which one build has been in use for a while. */
function withStore(
  body: (fleet: SimOriginFleet, store: MemoryOriginStore) => Promise<void>,
): Promise<void> {
  return withPausedClock(async () => {
    const store = new MemoryOriginStore();
    const fleet = new SimOriginFleet(3, 3, store);
    observe(fleet, ["v1"]);
    await sleep(DEFAULTS_MS);
    await body(fleet, store).finally(() => fleet.stop());
  }, { seed: 1 });
}

function observe(fleet: SimOriginFleet, builds: readonly string[]): void {
  fleet.builds = new Set(builds);
  fleet.observed = {
    builds: builds.map((build) => ({ pool: "plain", build })),
    routes: [{ address: ROUTE, pools: POOLS }],
  };
  fleet.recheck();
}

function restartAll(fleet: SimOriginFleet): void {
  fleet.entries.forEach((_, i) => fleet.restart(i, { registersAnew: true }));
}

// Guards against LOST: all entries end before the second build joins (review/10).
test("a stream of the only build is known after all entries have ended at once", () =>
  withStore(async (fleet, store) => {
    assert.equal(fleet.begin(0, "s1", V1), undefined, "nothing to wait for");
    restartAll(fleet);
    observe(fleet, ["v1", "v2"]);
    await sleep(DEFAULTS_MS);
    await fleet.begin(1, "s2", V2);
    restartAll(fleet);
    assert.deepEqual(await find(fleet, 2, "s1"), V1);
    assert.deepEqual(await find(fleet, 2, "s2"), V2);
    assert.equal(store.rows.size, 1, "one row for one stream of the second");
  }));

// Guards against ORDER: the store has lost where streams began.
test("a stream is unknown when a restored store may lack its record", () =>
  withStore(async (fleet, store) => {
    observe(fleet, ["v1", "v2"]);
    const copy = store.copy();
    await fleet.begin(0, "s1", V2);
    store.restore(copy);
    restartAll(fleet);
    assert.equal(await find(fleet, 1, "s1"), undefined);
    await sleep(ORIGIN_TTL_MS / 2);
    assert.equal(await find(fleet, 1, "s1"), undefined);
  }));

test("an entry that outlives the restoration writes again what the store lost", () =>
  withStore(async (fleet, store) => {
    observe(fleet, ["v1", "v2"]);
    const copy = store.copy();
    await fleet.begin(0, "s1", V2);
    fleet.begin(0, "s2", V1);
    store.restore(copy);
    await sleep(SHARED_MS);
    restartAll(fleet);
    assert.deepEqual(await find(fleet, 1, "s1"), V2);
    assert.deepEqual(await find(fleet, 1, "s2"), V1);
  }));

// Guards against ORDER: gateways of an older program record no stream at once.
test("no default is used beside an entry that may not record its streams", () =>
  withStore(async (fleet) => {
    observe(fleet, ["v1", "v2"]);
    assert.deepEqual(await find(fleet, 1, "s1"), V1);
    fleet.recordless = ["entry-2"];
    fleet.restart(2, { registersAnew: true });
    assert.equal(await find(fleet, 1, "s1"), undefined);
  }));

test("an unknown stream is not guessed while the store does not answer", () =>
  withStore(async (fleet, store) => {
    observe(fleet, ["v1", "v2"]);
    store.isAway = true;
    restartAll(fleet);
    assert.equal(await find(fleet, 1, "s1"), undefined);
  }));

test("a release costs the store one row for the streams of a short time", () =>
  withStore(async (fleet, store) => {
    for (let i = 0; i < 40; i++, await sleep(50)) fleet.begin(0, `a${i}`, V1);
    assert.equal(store.writes, 0, "no row while there is one build");
    observe(fleet, ["v1", "v2"]);
    for (let i = 0; i < 40; i++, await sleep(50)) {
      fleet.begin(0, `b${i}`, V1);
      fleet.begin(0, `c${i}`, V2);
    }
    assert.ok(store.writes <= 15, `${store.writes} writes in 2 s`);
  }));

/** Entries of a fleet in which few write for the others. */
const LARGE = 64;

test("in a large fleet a few entries record the streams of all", () =>
  withPausedClock(async () => {
    const store = new MemoryOriginStore();
    store.latencyMs = 5;
    const fleet = new SimOriginFleet(LARGE, 3, store);
    observe(fleet, ["v1"]);
    await sleep(DEFAULTS_MS);
    observe(fleet, ["v1", "v2"]);
    const before = store.writes;
    const begin = async (i: number) => {
      await sleep(i * 10);
      const startedAt = monotonicMs();
      await fleet.begin(i, `s${i}`, V2);
      return monotonicMs() - startedAt;
    };
    const waits = await Promise.all(fleet.entries.map((_, i) => begin(i)));
    assert.ok(Math.max(...waits) < 500, `${Math.max(...waits)} ms`);
    const writes = store.writes - before;
    assert.ok(writes <= 24, `${writes} writes for ${LARGE} streams`);
    for (let i = 0; i < LARGE; i++) {
      assert.deepEqual(await find(fleet, (i + 1) % LARGE, `s${i}`), V2);
    }
    fleet.stop();
  }, { seed: 1 }));

test("an entry records its streams itself when the writers do not respond", () =>
  withPausedClock(async () => {
    const store = new MemoryOriginStore();
    const fleet = new SimOriginFleet(LARGE, 3, store);
    observe(fleet, ["v1"]);
    await sleep(DEFAULTS_MS);
    observe(fleet, ["v1", "v2"]);
    fleet.entries.slice(1).forEach((entry) => entry.mode = "refusing");
    const startedAt = monotonicMs();
    await fleet.begin(0, "s1", V2);
    assert.ok(monotonicMs() - startedAt < 1_000);
    await sleep(1_000);
    const stored = [...store.rows.values()].flatMap(({ origins }) => origins);
    assert.deepEqual(stored.map(({ stream }) => stream), ["s1"]);
    fleet.stop();
  }, { seed: 1 }));
