import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { shardCountOf, targetsOfShard } from "./stage_shards.ts";
import { batchPool, listedTarget } from "./testing.ts";

const LIMITS = batchPool("parts", { callMs: 240, pieceMs: 20 }).batch!;

function pools(...targets: readonly number[]) {
  return targets.map((count) => ({ limits: LIMITS, targets: count }));
}

test("shardCountOf() does not cut a group that one owner carries", () => {
  assert.equal(shardCountOf(pools(4, 4, 3), [0.5, 0.5, 0.5, 0.5]), 1);
  assert.equal(shardCountOf(pools(30, 30, 30), [undefined, undefined]), 1);
  assert.equal(shardCountOf([], [0.1]), 1);
  assert.equal(shardCountOf(pools(30), []), 1);
});

test("shardCountOf() cuts a group the finer the less its owners carry", () => {
  const capacities = (cores: number) => Array.from({ length: 70 }, () => cores);
  const counts = [2, 0.5, 0.2, 0.05]
    .map((cores) => shardCountOf(pools(30, 30, 30), capacities(cores)));
  assert.deepEqual(counts, counts.toSorted((a, b) => a - b));
  assert.ok((counts[0] ?? 0) < (counts[3] ?? 0));
});

test("shardCountOf() leaves each share a target of each pool and an owner", () => {
  const tiny = Array.from({ length: 70 }, () => 0.01);
  assert.equal(shardCountOf(pools(5, 30), tiny), 5);
  assert.equal(shardCountOf(pools(30, 30), tiny.slice(0, 3)), 3);
  assert.equal(shardCountOf(pools(0, 30), tiny), 1);
});

test("targetsOfShard() deals each target to one share, evenly", () => {
  fc.assert(fc.property(
    fc.uniqueArray(fc.nat(200), { minLength: 1, maxLength: 60 }),
    fc.integer({ min: 1, max: 16 }),
    (ids, count) => {
      const targets = ids.map((id) =>
        listedTarget(`t${id}`, { failureDomain: `d${id % 5}` })
      );
      const shares = Array.from(
        { length: count },
        (_, index) =>
          targetsOfShard(targets, { index, count })
            .map(({ id }) => id),
      );
      assert.deepEqual(
        shares.flat().toSorted(),
        targets.map(({ id }) => id).toSorted(),
      );
      const sizes = shares.map(({ length }) => length);
      assert.ok(Math.max(...sizes) - Math.min(...sizes) <= 1);
    },
  ));
});

test("targetsOfShard() moves few targets when one is added", () => {
  const targets = Array.from(
    { length: 40 },
    (_, i) => listedTarget(`t${i}`, { failureDomain: `d${i % 5}` }),
  );
  const shareOf = (all: typeof targets) =>
    new Map(
      [0, 1, 2, 3].flatMap((index) =>
        targetsOfShard(all, { index, count: 4 })
          .map(({ id }) => [id, index] as const)
      ),
    );
  const before = shareOf(targets);
  const after = shareOf([
    ...targets,
    listedTarget("new", { failureDomain: "d2" }),
  ]);
  const moved = targets.filter(({ id }) => before.get(id) !== after.get(id));
  assert.ok(moved.length <= 3, `${moved.length} moved`);
});
