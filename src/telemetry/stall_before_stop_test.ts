import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "../kernel/mod.ts";
import { SILENT_LOGGER } from "./log.ts";
import { Metrics } from "./metrics.ts";
import { StallMonitor } from "./stall_monitor.ts";

const STALL_MS = 1_500;

// Guards against requests that a stop ends early, since its signal came after a stall.
test("a signal that comes after a stall is not dated back to its beginning", async () => {
  const monitor = new StallMonitor({
    log: SILENT_LOGGER,
    metrics: new Metrics(),
  });
  const end = new AbortController();
  const running = monitor.run(end.signal);
  await sleep(50);
  const until = performance.now() + STALL_MS;
  while (performance.now() < until);
  await sleep(20);
  const signalled = new Promise<number>((resolve) =>
    process.once("SIGUSR2", () => resolve(monitor.justEndedMs))
  );
  process.kill(process.pid, "SIGUSR2");
  const datedBackMs = await signalled;
  end.abort();
  await running;
  assert.ok(datedBackMs < 200, `${datedBackMs} ms`);
});
