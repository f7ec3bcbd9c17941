import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { MAX_CONFIRMED_AGE_MS } from "../freshness/mod.ts";
import {
  applyPoll,
  INITIAL_PACING,
  isPollDue,
  type Pacing,
  URGENT_AGE_MS,
} from "./pacing.ts";

const SEED = 64;
const PROCESSES = 960;
/** A tenth of the reads that the platform allows the whole fleet. */
const BUDGET_PER_S = 200;
const TICK_MS = 100;
const ROUND_MS = 500;
const URGENT_ROUND_MS = 250;
const SECONDS = 60;

/** State of one process in the simulated fleet. */
interface SimulatedProcess {
  pacing: Pacing;
  confirmedAt: number;
  roundAt: number;
}

/**
 * Simulates a fleet for a minute after a warm-up of 10 s and returns its reads
 * per second and its greatest confirmed age.
 */
function runFleet(opts: { storeResponds: boolean; gossip: boolean }) {
  const source = xoroshiro128plus(SEED);
  const random = () => (source.next() >>> 0) / 0x1_0000_0000;
  const processes = Array.from({ length: PROCESSES }, (): SimulatedProcess => ({
    pacing: INITIAL_PACING,
    confirmedAt: opts.storeResponds ? 0 : -Infinity,
    roundAt: random() * ROUND_MS,
  }));
  let reads = 0;
  let greatestAgeMs = 0;
  const step = (simulated: SimulatedProcess, now: number) => {
    const confirmedAgeMs = now - simulated.confirmedAt;
    if (isPollDue(simulated.pacing, { now, confirmedAgeMs, isBehind: false })) {
      if (now >= 10_000) reads += 1;
      const ok = opts.storeResponds;
      simulated.pacing = applyPoll({ now, ok, fleetSize: PROCESSES, random });
      if (ok) simulated.confirmedAt = now;
    }
    if (opts.gossip && now >= simulated.roundAt) {
      const peer =
        processes[Math.floor(random() * PROCESSES)] as SimulatedProcess;
      simulated.confirmedAt = Math.max(simulated.confirmedAt, peer.confirmedAt);
      const age = now - simulated.confirmedAt;
      const roundMs = age > URGENT_AGE_MS ? URGENT_ROUND_MS : ROUND_MS;
      simulated.roundAt = now + roundMs * (0.75 + random() / 2);
    }
    if (now >= 10_000) {
      greatestAgeMs = Math.max(greatestAgeMs, now - simulated.confirmedAt);
    }
  };
  for (let now = 0; now < (SECONDS + 10) * 1_000; now += TICK_MS) {
    processes.forEach((simulated) => step(simulated, now));
  }
  return { readsPerS: reads / SECONDS, greatestAgeMs };
}

test("isPollDue() keeps 960 processes fresh on a tenth of the reads", (t) => {
  // Fails (304 reads/s) when the next time is drawn from the second half of the
  // interval and URGENT_AGE_SPREAD_MS is 0, since all processes then poll early
  // at the same time.
  const { readsPerS, greatestAgeMs } = runFleet({
    storeResponds: true,
    gossip: true,
  });
  t.diagnostic(`reads_per_s=${readsPerS} greatest_age_ms=${greatestAgeMs}`);
  assert.ok(readsPerS <= BUDGET_PER_S);
  assert.ok(greatestAgeMs <= MAX_CONFIRMED_AGE_MS);
});

test("isPollDue() stays within the budget while the store is out", (t) => {
  // Fails when early polls are allowed after a failure.
  const { readsPerS } = runFleet({ storeResponds: false, gossip: true });
  t.diagnostic(`reads_per_s=${readsPerS}`);
  assert.ok(readsPerS <= BUDGET_PER_S);
});
