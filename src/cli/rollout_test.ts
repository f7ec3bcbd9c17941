import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FreshnessStatus } from "../freshness/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import { registerEntry } from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import type { GossipResponse, PeerClient } from "../wire/mod.ts";
import { watchRollout } from "./rollout.ts";

const responseWith = (listsVersion: number): GossipResponse => ({
  state: {
    process: "p",
    domain: "north",
    listsVersion,
    confirmedAgeMs: 0,
    standing: FreshnessStatus.Confirmed,
    ready: true,
  },
  update: null,
  domains: [],
  peers: [],
});

/** Watches version 7 in processes with the given versions over time. */
async function watch(
  versions: Readonly<Record<string, (now: number) => number | undefined>>,
  waitMs: number,
) {
  const clock = install();
  try {
    const table = new MemoryTable();
    for (const name of Object.keys(versions)) {
      const info = { name, host: name, domain: "north", url: `http://${name}` };
      await registerEntry(table, info);
    }
    const connect = ({ name }: { name: string }) => ({
      exchange: () => {
        const version = versions[name]?.(monotonicMs());
        return version === undefined
          ? Promise.reject(new Error("unreachable"))
          : Promise.resolve(responseWith(version));
      },
    } as unknown as PeerClient);
    const rollout = watchRollout(7, {
      table,
      waitMs,
      acceptedAt: monotonicMs(),
      connect,
    });
    await clock.tickAsync(60_000);
    return await rollout;
  } finally {
    clock.uninstall();
  }
}

test("watchRollout() reports when the last process had the change", async () => {
  const rollout = await watch({
    a: () => 7,
    b: (now) => now < 1_000 ? 6 : 8,
  }, 20_000);
  assert.deepEqual(rollout, {
    version: 7,
    inForceMs: 1_000,
    inForce: ["a", "b"],
    lagging: [],
    unreachable: [],
    done: true,
  });
});

test("watchRollout() names the processes that lag", async () => {
  const { done, lagging } = await watch({ a: () => 7, b: () => 6 }, 2_000);
  assert.deepEqual({ done, lagging }, { done: false, lagging: ["b"] });
});

test("watchRollout() waits until unreachable processes have stopped new work", async () => {
  // Guards against a change that counts as done while an unreachable process
  // may still accept work: in the first round, or after a wait of only 2 s.
  const versions = { a: () => 7, b: () => undefined };
  const rollout = await watch(versions, 20_000);
  assert.deepEqual(
    { done: rollout.done, unreachable: rollout.unreachable },
    { done: true, unreachable: ["b"] },
  );
  assert.equal((await watch(versions, 2_000)).done, false);
});
