import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Catalog, poolFor, RouteKind, type WeightedPool } from "./catalog.ts";
import { RouteVersions } from "./route_versions.ts";
import { ORIGIN_TTL_MS } from "./stream_origins.ts";
import { catalogSpec, route } from "./testing.ts";

const ADDRESS = { hostname: "api.example", pathPrefix: "/r/" };
const A = { pool: "a", weight: 1 };
const B = { pool: "b", weight: 1 };

function routeOf(pools: readonly WeightedPool[], isResumable = true) {
  return route({ ...ADDRESS, kind: RouteKind.Stream, isResumable, pools });
}

function catalogOf(pools: readonly WeightedPool[], isResumable = true) {
  return new Catalog(catalogSpec({ routes: [routeOf(pools, isResumable)] }));
}

test("the only pool of a route is sure from the start", () => {
  const versions = new RouteVersions().next(catalogOf([A]), 0);
  const expected = { pools: ["a"], isSure: true };
  assert.deepEqual(versions.candidates("s1", ADDRESS, 0), expected);
  assert.deepEqual(versions.candidates(undefined, ADDRESS, 0), expected);
  assert.deepEqual([...versions.ambiguousPools(0)], []);
});

test("the pool of a split route is sure once all versions in the life of a stream are known", () => {
  const split = [A, B];
  const versions = new RouteVersions().next(catalogOf(split), 0);
  const pools = [poolFor(routeOf(split), "s1")];
  assert.deepEqual(versions.candidates("s1", ADDRESS, ORIGIN_TTL_MS - 1), {
    pools,
    isSure: false,
  });
  assert.deepEqual(versions.candidates("s1", ADDRESS, ORIGIN_TTL_MS), {
    pools,
    isSure: true,
  });
  assert.deepEqual([...versions.ambiguousPools(0)], ["a", "b"]);
});

test("a route that has moved has both pools for the life of a stream", () => {
  const versions = new RouteVersions()
    .next(catalogOf([A]), 0)
    .next(catalogOf([B]), 1_000);
  const both = versions.candidates("s1", ADDRESS, 1_000 + ORIGIN_TTL_MS - 1);
  assert.deepEqual(both, { pools: ["a", "b"], isSure: true });
  assert.deepEqual([...versions.ambiguousPools(2_000)], ["a", "b"]);
  const later = 1_000 + ORIGIN_TTL_MS;
  const { pools } = versions.candidates("s1", ADDRESS, later);
  assert.deepEqual(pools, ["b"]);
  assert.deepEqual([...versions.ambiguousPools(later)], []);
});

test("a stream of a route that may not be resumed has candidates, and its pools are not shared", () => {
  const versions = new RouteVersions().next(catalogOf([A, B], false), 0);
  assert.equal(versions.candidates("s1", ADDRESS, 0).pools.length, 1);
  assert.deepEqual([...versions.ambiguousPools(0)], []);
});

test("the pool that began a stream is always a candidate, or the pools are not sure", () => {
  const weights = fc.record({
    a: fc.integer({ min: 0, max: 3 }),
    b: fc.integer({ min: 0, max: 3 }),
    afterMs: fc.integer({ min: 0, max: ORIGIN_TTL_MS / 2 }),
  });
  fc.assert(
    fc.property(
      fc.array(weights, { minLength: 1, maxLength: 60 }),
      fc.nat(),
      fc.nat(),
      (steps, begun, ageMs) => {
        let now = 0;
        let versions = new RouteVersions();
        const known = steps.map(({ a, b, afterMs }) => {
          now += afterMs;
          const pools = [{ pool: "a", weight: a }, { pool: "b", weight: b }];
          versions = versions.next(catalogOf(pools), now);
          return { from: now, pools };
        });
        const stream = `stream-${begun}`;
        const at = now + ageMs % ORIGIN_TTL_MS;
        // The stream began within its life and since the first version.
        const inLife = known.filter((_, i) =>
          (known[i + 1]?.from ?? Infinity) > at - ORIGIN_TTL_MS
        );
        const { pools } = inLife[begun % inLife.length] ?? {};
        const pool = pools && poolFor(routeOf(pools), stream);
        const { isSure, pools: candidates } = versions
          .candidates(stream, ADDRESS, at);
        assert.ok(!isSure || !pool || candidates.includes(pool));
      },
    ),
  );
});
