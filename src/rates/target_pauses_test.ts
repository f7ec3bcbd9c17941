import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import { withPausedClock } from "../testing/paused_clock.ts";
import { TargetPauses } from "./target_pauses.ts";

const TARGET = { id: "t1", bornMs: 1 };

function pausesTest(title: string, body: (pauses: TargetPauses) => unknown) {
  test(title, () =>
    withPausedClock(async () => {
      await body(
        new TargetPauses({ log: SILENT_LOGGER, metrics: new Metrics() }),
      );
    }, { seed: 1 }));
}

pausesTest("a pause ends after its time", async (pauses) => {
  pauses.pause(TARGET, 1_000);
  await sleep(900);
  assert.equal(pauses.waitMs(TARGET), 100);
  await sleep(100);
  assert.equal(pauses.waitMs(TARGET), 0);
});

pausesTest("a shorter pause does not shorten a longer one", (pauses) => {
  pauses.pause(TARGET, 1_000);
  pauses.pause(TARGET, 10);
  assert.equal(pauses.waitMs(TARGET), 1_000);
});

pausesTest("a pause ends when the target is started again", (pauses) => {
  pauses.pause(TARGET, 1_000);
  assert.equal(pauses.waitMs({ ...TARGET, bornMs: 2 }), 0);
});

pausesTest(
  "a late refusal of an earlier start does not end a pause",
  (pauses) => {
    const later = { ...TARGET, bornMs: 2 };
    pauses.pause(later, 1_000);
    pauses.pause(TARGET, 500);
    assert.equal(pauses.waitMs(later), 1_000);
  },
);

pausesTest("the pauses of many targets take bounded memory", (pauses) => {
  const ids = Array.from({ length: 10_000 }, (_, i) => `t${i}`);
  ids.forEach((id) => pauses.pause({ id }, 1_000));
  const kept = ids.filter((id) => pauses.waitMs({ id }) > 0);
  assert.ok(kept.length <= 4_096);
  assert.ok(kept.includes("t9999"));
});
