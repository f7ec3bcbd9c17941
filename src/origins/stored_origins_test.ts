import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { MAX_ORIGINS, ORIGIN_TTL_MS } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import type { OriginRow, OriginStore } from "./ports.ts";
import { StoredOrigins } from "./stored_origins.ts";

const ORIGIN = { pool: "engines", build: "v1" };

/** Store in memory that can fail. */
class FakeStore implements OriginStore {
  readonly rows = new Map<string, OriginRow>();
  isAway = false;
  writes = 0;
  reads = 0;

  write(row: OriginRow, removed: readonly string[]) {
    this.writes += 1;
    if (this.isAway) return Promise.resolve(err({ kind: "unreachable" }));
    this.rows.set(row.key, row);
    removed.forEach((key) => this.rows.delete(key));
    return Promise.resolve(ok());
  }

  read() {
    this.reads += 1;
    return Promise.resolve(
      this.isAway ? err({ kind: "unreachable" }) : ok([...this.rows.values()]),
    );
  }
}

function storedTest(
  title: string,
  body: (setup: {
    readonly store: FakeStore;
    /** Starts an entry; returns its origins. */
    readonly start: (entries?: number) => StoredOrigins;
  }) => Promise<void>,
): void {
  test(title, () =>
    withPausedClock(async () => {
      const store = new FakeStore();
      const end = new AbortController();
      const start = (entries = 1) => {
        const stored = new StoredOrigins({
          store,
          self: "entry-0",
          entries: () => entries,
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
