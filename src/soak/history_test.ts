import assert from "node:assert/strict";
import { test } from "node:test";
import { runHistory } from "./history.ts";
import { withPausedClock } from "../testing/mod.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 100_044];
const KEYS = 200;
const LENGTH_MS = 30_000;

/*
 * Fails, among others, when a claim does not check the version (doubled and
 * falselyNotRun), and with falselyNotRun when a call that was cut off is
 * settled as not run without closing its key, when confirm() of the runner or
 * partlyRun() of the verdict is left out, and when every failure of a target is
 * reported as not run. See docs/PROOFS.md.
 */
SEEDS.forEach((seed) =>
  test(`runHistory() with seed ${seed} keeps every guarantee`, async () => {
    const audit = await withPausedClock(
      () => runHistory({ seed, keys: KEYS, lengthMs: LENGTH_MS }),
      { seed },
    );
    const { requests, done, unknown, unresolved, ...faults } = audit;
    assert.deepEqual(faults, {
      doubled: 0,
      lost: 0,
      misdelivered: 0,
      falselyNotRun: 0,
      late: 0,
      stuck: 0,
    });
    assert.ok(requests >= KEYS && done > 0 && unknown > 0);
    assert.ok(unresolved < KEYS);
  })
);
