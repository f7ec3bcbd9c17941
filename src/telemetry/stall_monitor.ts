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

/** Watches the event loop of this process. */
export class StallMonitor {
  readonly #deps: { readonly log: Logger; readonly metrics: Metrics };
  /** Monotonic time of the next check. */
  #dueAt = Infinity;
  /** Stall after which the sockets and signals were not yet read twice. */
  #freshStallMs = 0;

  constructor(deps: { log: Logger; metrics: Metrics }) {
    this.#deps = deps;
  }

  /** Logs `process_stalled` after each stall until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { log, metrics } = this.#deps;
    while (!signal.aborted) {
      this.#dueAt = monotonicMs() + CHECK_PAUSE_MS;
      await sleep(CHECK_PAUSE_MS, signal);
      const ms = Math.round(monotonicMs() - this.#dueAt);
      if (signal.aborted || ms < MIN_STALL_MS) continue;
      this.#recordStall(ms);
      metrics.count("process_stalls_total");
      log.warn("process_stalled", { stalledMs: ms });
    }
  }

  /**
   * Duration of a stall that has ended just now, in milliseconds; 0 if there was
   * none. What this process notices now may have happened at its beginning.
   */
  get justEndedMs(): number {
    const unseenMs = monotonicMs() - this.#dueAt;
    return unseenMs >= MIN_STALL_MS ? unseenMs : this.#freshStallMs;
  }

  /** What waited during the stall is read in the next pass of the event loop. */
  #recordStall(ms: number): void {
    this.#freshStallMs = ms;
    setImmediate(() => setImmediate(() => this.#freshStallMs = 0));
  }
}
