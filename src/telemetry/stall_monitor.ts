/**
 * Reports stalls of the process: times in which its event loop did not run,
 * because of long work or because the process was suspended.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { Logger } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Pause between two checks, in milliseconds. */
const CHECK_PAUSE_MS = 250;
/** Shortest delay of a check that is reported, in milliseconds. */
const MIN_STALL_MS = 200;

/** Logs `process_stalled` after each stall until `signal` aborts. */
export async function monitorStalls(
  deps: { log: Logger; metrics: Metrics },
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const dueAt = monotonicMs() + CHECK_PAUSE_MS;
    await sleep(CHECK_PAUSE_MS, signal);
    const stalledMs = Math.round(monotonicMs() - dueAt);
    if (signal.aborted || stalledMs < MIN_STALL_MS) continue;
    deps.metrics.count("process_stalls_total");
    deps.log.warn("process_stalled", { stalledMs });
  }
}
