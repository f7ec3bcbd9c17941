import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { SILENT_LOGGER } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { StallMonitor } from "./stall_monitor.ts";

const BLOCKED_MS = 600;

test("StallMonitor reports for how long the event loop was blocked", async () => {
  const stalls: number[] = [];
  const log = {
    ...SILENT_LOGGER,
    warn: (_event: string, fields?: Record<string, unknown>) => {
      stalls.push(Number(fields?.stalledMs));
    },
  };
  const abort = new AbortController();
  const metrics = new Metrics();
  const monitor = new StallMonitor({ log, metrics });
  const done = monitor.run(abort.signal);
  assert.equal(monitor.justEndedMs, 0);
  const blockedUntil = monotonicMs() + BLOCKED_MS;
  while (monotonicMs() < blockedUntil);
  const seenMs = monitor.justEndedMs;
  await sleep(BLOCKED_MS);
  abort.abort();
  await done;
  assert.ok((stalls[0] ?? 0) >= BLOCKED_MS / 2, `stalls: ${stalls}`);
  assert.ok(seenMs >= BLOCKED_MS / 2, `seen: ${seenMs}`);
  assert.equal(monitor.justEndedMs, 0);
  assert.ok(metrics.total("process_stalls_total") >= 1);
});
