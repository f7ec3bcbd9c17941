import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { withPausedClock } from "../testing/mod.ts";
import { PeerHealth } from "./peer_health.ts";

/** Sends requests that time out until the peer counts as silent. */
async function msUntilLost(health: PeerHealth): Promise<number> {
  let ms = 0;
  while (!health.isSilent) {
    health.asked();
    const { timeoutMs } = health;
    await sleep(timeoutMs);
    ms += timeoutMs;
    health.failed();
  }
  return ms;
}

function respondOften(health: PeerHealth, tookMs: readonly number[]): void {
  for (let i = 0; i < 40; i++) {
    health.asked();
    health.responded(tookMs[i % tookMs.length] ?? 0);
  }
}

test("a peer that responded fast is silent after about a second", () =>
  withPausedClock(async () => {
    const health = new PeerHealth();
    respondOften(health, [5]);
    const ms = await msUntilLost(health);
    assert.ok(ms >= 900 && ms < 1_500, `${ms} ms`);
  }, { seed: 1 }));

test("a peer that responds slowly has more time", () =>
  withPausedClock(async () => {
    const health = new PeerHealth();
    respondOften(health, [200, 900]);
    assert.ok(health.timeoutMs > 900, `${health.timeoutMs}`);
    const ms = await msUntilLost(health);
    assert.ok(ms >= 2_000 && ms < 5_000, `${ms} ms`);
  }, { seed: 1 }));

test("requests that time out leave the next one more time", () => {
  const health = new PeerHealth();
  respondOften(health, [5]);
  const before = health.timeoutMs;
  health.asked();
  health.failed();
  assert.equal(health.timeoutMs, 2 * before);
  health.end();
});

test("a response makes a silent peer usable again, with a new signal", () => {
  const health = new PeerHealth();
  const { lossSignal } = health;
  assert.equal(health.lost(), true);
  assert.equal(lossSignal.aborted, true);
  assert.equal(health.lost(), false);
  assert.equal(health.responded(5), true);
  assert.equal(health.isSilent, false);
  assert.equal(health.lossSignal.aborted, false);
});
