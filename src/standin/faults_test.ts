import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Hono } from "hono";
import { type Faults, NO_FAULTS, withFaults } from "./faults.ts";

const app = (faults: Partial<Faults>) => {
  const inner = new Hono();
  inner.get("/", (c) => c.text("ok"));
  return withFaults(inner, { faults: { ...NO_FAULTS, ...faults }, seed: 1 });
};

test("withFaults() alternates service and outage while flapping", async () => {
  const clock = install({ now: 0 });
  try {
    const flapping = app({ flapMs: 500 });
    const statuses: number[] = [];
    for (let i = 0; i < 4; i += 1) {
      statuses.push((await flapping.request("/")).status);
      clock.tick(500);
    }
    assert.deepEqual(statuses, [200, 503, 200, 503]);
  } finally {
    clock.uninstall();
  }
});

test("withFaults() responds with status 429 above the rate limit", async () => {
  const clock = install({ now: 0 });
  try {
    const limited = app({ ratePerS: 2 });
    const send = async () => (await limited.request("/")).status;
    assert.deepEqual([await send(), await send(), await send()], [
      200,
      200,
      429,
    ]);
    clock.tick(1_000);
    assert.equal(await send(), 200);
  } finally {
    clock.uninstall();
  }
});
