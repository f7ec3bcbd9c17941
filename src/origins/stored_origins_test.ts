import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { MAX_ORIGINS, ORIGIN_TTL_MS } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import { StoredOrigins } from "./stored_origins.ts";
import { MemoryOriginStore } from "./testing.ts";

const ORIGIN = { pool: "engines", build: "v1" };

function storedTest(
  title: string,
  body: (setup: {
    readonly store: MemoryOriginStore;
    /** Starts an entry; returns its origins. */
    readonly start: (entries?: number) => StoredOrigins;
  }) => Promise<void>,
): void {
  test(title, () =>
    withPausedClock(async () => {
      const store = new MemoryOriginStore();
      const end = new AbortController();
      const start = (entries = 1) => {
        const stored = new StoredOrigins({
          store,
          self: "entry-0",
          writers: {
            count: entries,
            choose: () => undefined,
            send: () => Promise.resolve(false),
          },
          log: SILENT_LOGGER,
          metrics: new Metrics(),
        });
        stored.run(end.signal);
        return stored;
      };
      await body({ store, start }).finally(() => end.abort());
    }, { seed: 1 }));
}

storedTest("an origin outlives the entry that wrote it", async ({ start }) => {
  start().add("s1", ORIGIN);
  await sleep(1_000);
  const restarted = start();
  restarted.add("s2", ORIGIN);
  await sleep(1_000);
  assert.deepEqual(await start().find("s1"), ORIGIN);
  assert.equal(await start().find("other"), undefined);
});

storedTest(
  "origins are written once the store is back",
  async ({ store, start }) => {
    const stored = start();
    store.isAway = true;
    stored.add("s1", ORIGIN);
    await sleep(3_000);
    assert.equal(await stored.find("s1"), undefined);
    store.isAway = false;
    await sleep(2_000);
    assert.deepEqual(await stored.find("s1"), ORIGIN);
  },
);

storedTest(
  "rows are removed once their origins have expired",
  async ({ store, start }) => {
    const stored = start();
    const endAt = monotonicMs() + 3 * ORIGIN_TTL_MS;
    for (let i = 0; monotonicMs() < endAt; i++) {
      stored.add(`s${i}`, ORIGIN);
      await sleep(1_000);
    }
    const perLife = ORIGIN_TTL_MS / 1_000;
    assert.ok(store.rows.size <= perLife + 2, `${store.rows.size} rows`);
  },
);

storedTest(
  "rows that an entry left long ago are removed by another",
  async ({ store, start }) => {
    store.rows.set("gone/1/0", {
      key: "gone/1/0",
      writtenAtMs: Date.now() - 3_600_000,
      origins: [{ stream: "s0", ...ORIGIN }],
    });
    const stored = start();
    await stored.find("s1");
    stored.add("s1", ORIGIN);
    await sleep(1_000);
    assert.equal(store.rows.has("gone/1/0"), false);
  },
);

storedTest("many entries write and read seldom", async ({ store, start }) => {
  const stored = start(360);
  for (let i = 0; i < 100; i++) {
    stored.add(`s${i}`, ORIGIN);
    await Promise.all([stored.find("x"), stored.find("y")]);
    await sleep(100);
  }
  assert.ok(store.writes <= 4, `${store.writes} writes in 10 s`);
  assert.ok(store.reads <= 11, `${store.reads} reads in 10 s`);
});

storedTest(
  "a long outage takes bounded memory, and rows stay bounded after it",
  async ({ store, start }) => {
    const stored = start();
    store.isAway = true;
    const streams = Array.from({ length: 40_000 }, (_, i) => `s${i}`);
    streams.forEach((stream) => stored.add(stream, ORIGIN));
    stored.add("x".repeat(10_000), ORIGIN);
    store.isAway = false;
    await sleep(60_000);
    const rows = [...store.rows.values()];
    const count = rows.reduce((sum, { origins }) => sum + origins.length, 0);
    assert.ok(count <= MAX_ORIGINS, `${count} origins`);
    rows.forEach((row) =>
      assert.ok(JSON.stringify(row.origins).length < 65_536)
    );
    assert.deepEqual(await stored.find("s39999"), ORIGIN);
  },
);

storedTest(
  "a stream waits until the store has its origin",
  async ({ store, start }) => {
    store.latencyMs = 40;
    const stored = start();
    const startedAt = monotonicMs();
    await stored.record("s1", ORIGIN);
    assert.equal(monotonicMs() - startedAt, 40);
    assert.equal(stored.record("s1", ORIGIN), undefined);
    assert.deepEqual(await start().find("s1"), ORIGIN);
  },
);

storedTest(
  "a stream whose origin was expected does not wait",
  async ({ store, start }) => {
    store.latencyMs = 40;
    const stored = start();
    stored.expect("s1", ORIGIN);
    await sleep(100);
    assert.equal(stored.record("s1", ORIGIN), undefined);
    assert.equal(store.writes, 1);
  },
);

storedTest(
  "streams that wait together share a write",
  async ({ store, start }) => {
    store.latencyMs = 5;
    const stored = start();
    const waits = Array.from(
      { length: 50 },
      (_, i) => stored.record(`s${i}`, ORIGIN),
    );
    await Promise.all(waits);
    assert.equal(store.writes, 1);
  },
);

storedTest(
  "a stream that began elsewhere than expected has its true origin",
  async ({ store, start }) => {
    store.latencyMs = 20;
    const other = { pool: "engines", build: "v2" };
    const stored = start();
    for (let i = 0; i < 15; i++) {
      stored.expect(`s${i}`, other);
      if (i % 2 === 0) await sleep(10 * i);
      await stored.record(`s${i}`, ORIGIN);
      assert.deepEqual(await start().find(`s${i}`), ORIGIN);
    }
  },
);

storedTest(
  "a stream waits for a bounded time, and not while the store is away",
  async ({ store, start }) => {
    const stored = start();
    store.latencyMs = 10_000;
    const startedAt = monotonicMs();
    await stored.record("s1", ORIGIN);
    assert.equal(monotonicMs() - startedAt, 500);
    store.latencyMs = 0;
    store.isAway = true;
    await sleep(15_000);
    const awayAt = monotonicMs();
    await stored.record("s2", ORIGIN);
    assert.ok(monotonicMs() - awayAt < 10);
    assert.equal(stored.record("s3", ORIGIN), undefined);
    store.isAway = false;
    await sleep(1_000);
    assert.deepEqual(await start().find("s2"), ORIGIN);
    assert.deepEqual(await start().find("s3"), ORIGIN);
  },
);

// Guards against ORDER: a record that was left out counts as the default.
storedTest(
  "a stream with an identifier of any length has a record",
  async ({ store, start }) => {
    const [stream, other] = ["x".repeat(15_000), "x".repeat(14_999)];
    await start().record(stream, ORIGIN);
    assert.deepEqual(await start().find(stream), ORIGIN);
    assert.equal(await start().find(other), undefined);
    assert.ok(JSON.stringify([...store.rows.values()]).length < 500);
  },
);

storedTest(
  "a read that began before a stream ended does not show its origin",
  async ({ start }) => {
    const route = { hostname: "api.example", pathPrefix: "/r/" };
    const reader = start();
    assert.equal(await reader.find("s1"), undefined);
    await start().record("s1", ORIGIN);
    const found = await reader.findSince(monotonicMs(), {
      stream: "s1",
      route,
    });
    assert.deepEqual(found, { origin: ORIGIN, isDefault: false });
  },
);
