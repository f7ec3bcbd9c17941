import assert from "node:assert/strict";
import { test } from "node:test";
import { withPausedClock } from "../testing/mod.ts";
import { SharedRun } from "./shared_run.ts";
import { monotonicMs, sleep } from "./sleep.ts";

const TASK_MS = 50;
const PAUSE_MS = 200;

test("each caller gets a run that began after its call", () =>
  withPausedClock(async () => {
    let runs = 0;
    const shared = new SharedRun(async () => {
      const startedAt = monotonicMs();
      runs += 1;
      await sleep(TASK_MS);
      return startedAt;
    }, { pauseMs: PAUSE_MS });
    const calls = Array.from({ length: 40 }, async (_, i) => {
      await sleep(10 * i);
      const calledAt = monotonicMs();
      const startedAt = await shared.run();
      assert.ok(startedAt >= calledAt);
      assert.ok(monotonicMs() - calledAt <= PAUSE_MS + TASK_MS);
    });
    await Promise.all(calls);
    assert.equal(runs, 3);
  }, { seed: 1 }));

test("a run that fails does so for its callers alone", () =>
  withPausedClock(async () => {
    let isFailing = true;
    const shared = new SharedRun(
      () => isFailing ? Promise.reject(new Error("down")) : Promise.resolve(1),
      { pauseMs: PAUSE_MS },
    );
    await assert.rejects(shared.run());
    isFailing = false;
    assert.equal(await shared.run(), 1);
  }, { seed: 1 }));
