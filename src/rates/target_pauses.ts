/**
 * Pauses that targets have asked this process for. A pause concerns one process
 * only, so it is not told to the others.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { startKey, type TargetStart } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";

/** Maximum number of targets; those that asked first are discarded. */
const MAX_TARGETS = 4_096;

/** Pauses by target. */
export class TargetPauses {
  /** Monotonic times at which pauses end, by start: a later one has not asked. */
  readonly #pauses = new Map<string, number>();
  readonly #log: Logger;
  readonly #metrics: Metrics;

  constructor({ log, metrics }: { log: Logger; metrics: Metrics }) {
    this.#log = log;
    this.#metrics = metrics;
    metrics.gauge("targets_paused", () => this.#countOpen());
  }

  /** Records that a target wants no request for `ms` milliseconds. */
  pause(target: TargetStart, ms: number): void {
    const waitMs = this.waitMs(target);
    if (ms <= waitMs) return;
    const key = startKey(target);
    this.#pauses.delete(key);
    this.#pauses.set(key, monotonicMs() + ms);
    [...this.#pauses.keys()]
      .slice(0, Math.max(0, this.#pauses.size - MAX_TARGETS))
      .forEach((key) => this.#pauses.delete(key));
    // A pause that grows while it lasts is no news for a reader of the log.
    if (waitMs > 0) return;
    this.#metrics.count("target_pauses_total");
    this.#log.info("target_paused", { target: target.id, ms });
  }

  /** Time until a target's pause ends, in milliseconds; 0 without a pause. */
  waitMs(target: TargetStart): number {
    const until = this.#pauses.get(startKey(target)) ?? 0;
    return Math.max(0, until - monotonicMs());
  }

  #countOpen(): number {
    const now = monotonicMs();
    return [...this.#pauses.values()].filter((until) => until > now).length;
  }
}
