/**
 * Targets that have said in an answer that they leave, before the store lists
 * them as draining. What one entry hears reaches the others as a notice.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
import { startKey, type TargetStart } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { FleetView } from "./fleet_view.ts";

/** Services that the leaving of targets is recorded with. */
export interface LeavingDeps {
  readonly view: Pick<FleetView, "markLeaving">;
  readonly notices: Pick<NoticeBoard, "onNotice" | "post">;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Records which targets leave. */
export class LeavingTargets {
  readonly #deps: LeavingDeps;

  constructor(deps: LeavingDeps) {
    this.#deps = deps;
    deps.notices.onNotice("target-leaving", (notice, at) => {
      if (notice.kind !== "target-leaving") return;
      const { target: id, bornMs } = notice;
      this.#record({ id, bornMs }, { at, source: "peer" });
    });
  }

  /** Records an answer in which a target says that it leaves. */
  observe(target: TargetStart): void {
    this.#record(target, { at: monotonicMs(), source: "own" });
  }

  #record(
    { id, bornMs }: TargetStart,
    { at, source }: { at: number; source: "own" | "peer" },
  ): void {
    const { view, notices, log, metrics } = this.#deps;
    if (!view.markLeaving({ id, bornMs })) return;
    metrics.count("targets_leaving_total", { source });
    const ageMs = Math.round(monotonicMs() - at);
    log.info("target_leaving", { target: id, bornMs, ageMs, source });
    notices.post(
      `leaving/${startKey({ id, bornMs })}`,
      { kind: "target-leaving", target: id, bornMs },
      at,
    );
  }
}
