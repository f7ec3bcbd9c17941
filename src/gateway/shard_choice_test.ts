import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom, sleep } from "../kernel/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { ShardChoice } from "./shard_choice.ts";

const COUNT = 4;
const DRAWS = 400;

function drawn(choice: ShardChoice, exclude?: number): readonly number[] {
  const draws = Array.from({ length: DRAWS }, () =>
    choice.choose(
      COUNT,
      exclude === undefined ? undefined : { index: exclude, count: COUNT },
    ).index);
  return Array.from(
    { length: COUNT },
    (_, index) => draws.filter((one) => one === index).length,
  );
}

test("ShardChoice spreads chains while no wait is known", () => {
  const counts = drawn(new ShardChoice(seededRandom(1)));
  assert.ok(Math.min(...counts) > DRAWS / COUNT / 2, `${counts}`);
});

test("ShardChoice avoids a share with a long wait for a while", () =>
  withPausedClock(async () => {
    const choice = new ShardChoice(seededRandom(2));
    [100, 100, 100, 3_000].forEach((ms, index) =>
      choice.observe({ index, count: COUNT }, ms)
    );
    assert.equal(drawn(choice)[3], 0);
    await sleep(10_000);
    choice.observe({ index: 0, count: COUNT }, 100);
    assert.ok((drawn(choice)[3] ?? 0) > 0);
  }, { seed: 1 }));

test("ShardChoice does not choose a share that has refused", () => {
  assert.equal(drawn(new ShardChoice(seededRandom(3)), 2)[2], 0);
});
