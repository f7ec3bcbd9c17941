import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import {
  DefaultOrigins,
  type ObservedOrigins,
  RecentOrigins,
  SETTLE_MS,
} from "./default_origins.ts";
import { ORIGIN_TTL_MS, type StreamOrigin } from "./stream_origins.ts";

const ADDRESS = { hostname: "api.example", pathPrefix: "/r/" };
const POOLS = [{ pool: "engines", weight: 1 }];
const ERA = 1;
const S = 1_000;

function observed(
  builds: readonly (string | undefined)[],
  pools: readonly { pool: string; weight: number }[] = POOLS,
): ObservedOrigins {
  return {
    builds: builds.map((build) => ({ pool: "engines", build })),
    routes: [{ address: ADDRESS, pools }],
  };
}

/** Store and one entry that checks what is in use every second. */
class Keeper {
  defaults: DefaultOrigins | undefined;
  #recent: RecentOrigins;
  #now: number;

  constructor(now = 0, defaults?: DefaultOrigins) {
    this.#now = now;
    this.#recent = new RecentOrigins(now);
    this.defaults = defaults;
  }

  /** Lets time pass while some builds and pools are in use. */
  pass(ms: number, seen: ObservedOrigins, era = ERA): void {
    for (const endAt = this.#now + ms; this.#now < endAt; this.#now += S) {
      const now = this.#now;
      const inForce = this.defaults?.era === era ? this.defaults : undefined;
      this.#recent = this.#recent.next(seen, now).withMissing(inForce, now);
      this.defaults = this.#recent.defaultsAfter(this.defaults, { era, now });
    }
  }

  /** Default origin of a stream. */
  origin(stream = "stream-1"): StreamOrigin | undefined {
    return this.defaults?.of(stream, ADDRESS);
  }
}

test("the only build is the default at once when the store has none", () => {
  const keeper = new Keeper();
  keeper.pass(S, observed(["v1"]));
  assert.deepEqual(keeper.origin(), { pool: "engines", build: "v1" });
});

test("targets without a version have a default, too", () => {
  const keeper = new Keeper();
  keeper.pass(S, observed([undefined]));
  assert.deepEqual(keeper.origin(), { pool: "engines", build: undefined });
  const origin = { pool: "engines" };
  assert.equal(keeper.defaults?.covers("stream-1", ADDRESS, origin), true);
});

test("there is no default while two builds are in use from the start", () => {
  const keeper = new Keeper();
  keeper.pass(ORIGIN_TTL_MS, observed(["v1", "v2"]));
  assert.equal(keeper.origin(), undefined);
});

test("the first build stays the default until its streams have ended", () => {
  const keeper = new Keeper();
  keeper.pass(20 * S, observed(["v1"]));
  keeper.pass(20 * S, observed(["v1", "v2"]));
  assert.equal(keeper.origin()?.build, "v1");
  keeper.pass(ORIGIN_TTL_MS - S, observed(["v2"]));
  assert.equal(keeper.origin()?.build, "v1");
  keeper.pass(2 * S, observed(["v2"]));
  assert.equal(keeper.origin(), undefined, "first the old default is dropped");
  keeper.pass(SETTLE_MS + S, observed(["v2"]));
  assert.equal(keeper.origin()?.build, "v2");
});

test("an entry that has just started drops no default that it has not seen", () => {
  const before = new Keeper();
  before.pass(S, observed(["v1"]));
  const restarted = new Keeper(5 * S, before.defaults);
  restarted.pass(ORIGIN_TTL_MS - S, observed(["v2"]));
  assert.equal(restarted.origin()?.build, "v1");
});

test("a route that is split keeps its default until its streams have ended", () => {
  const split = [{ pool: "engines", weight: 1 }, { pool: "more", weight: 1 }];
  const keeper = new Keeper();
  keeper.pass(S, observed(["v1"]));
  keeper.pass(ORIGIN_TTL_MS - S, observed(["v1"], split));
  const origin = { pool: "engines", build: "v1" };
  Array.from({ length: 20 }, (_, i) => `stream-${i}`).forEach((stream) =>
    assert.deepEqual(keeper.defaults?.of(stream, ADDRESS), origin)
  );
});

test("a restored store has no defaults until the streams before it have ended", () => {
  const keeper = new Keeper();
  keeper.pass(S, observed(["v1"]));
  keeper.pass(ORIGIN_TTL_MS - 2 * S, observed(["v1"]), ERA + 1);
  assert.equal(keeper.defaults?.era, ERA);
  keeper.pass(SETTLE_MS + 4 * S, observed(["v1"]), ERA + 1);
  assert.equal(keeper.defaults?.era, ERA + 1);
  assert.equal(keeper.origin()?.build, "v1");
});

/** Second in a history of a fleet. */
const secondArb = fc.record({
  listed: fc.constantFrom(["v1"], ["v2"], ["v1", "v2"], []),
  /** Seconds for which it goes on. */
  seconds: fc.integer({ min: 1, max: 90 }),
  /** Entries that restart at its start. */
  restarts: fc.subarray([0, 1]),
});

// Guards against ORDER: a stream without a record counts as of another build.
test("no stream without a record counts as one of another build", () => {
  const history = fc.array(secondArb, { minLength: 1, maxLength: 12 });
  fc.assert(
    fc.property(history, fc.nat(3), (parts, lag) => {
      let store: DefaultOrigins | undefined;
      let now = 0;
      let streams: { origin: StreamOrigin; at: number }[] = [];
      const entries = [0, 1].map(() => ({
        recent: new RecentOrigins(0),
        read: store as DefaultOrigins | undefined,
      }));
      parts.forEach(({ listed, seconds, restarts }) => {
        restarts.forEach((i) => {
          entries[i] = { recent: new RecentOrigins(now), read: store };
        });
        for (let s = 0; s < seconds; s++, now += S) {
          entries.forEach((entry, i) => {
            // Each entry reads the row every four seconds.
            if ((now / S + i * lag) % 4 === 0) entry.read = store;
            listed.forEach((build) => {
              const origin = { pool: "engines", build };
              if (entry.read?.covers("stream", ADDRESS, origin)) {
                streams.push({ origin, at: now });
              }
            });
            entry.recent = entry.recent.next(observed(listed), now)
              .withMissing(entry.read, now);
            // A conditional write fails if the row has changed since.
            if (entry.read !== store) return;
            store = entry.recent.defaultsAfter(store, { era: ERA, now });
            entry.read = store;
          });
          streams = streams.filter(({ at }) => now < at + ORIGIN_TTL_MS);
          streams.forEach(({ origin }) => {
            const found = store?.of("stream", ADDRESS);
            assert.ok(!found || found.build === origin.build);
          });
        }
      });
    }),
    { numRuns: 300 },
  );
});
