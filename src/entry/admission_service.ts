/**
 * Runs the admission decisions of an entry.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type AdmissionState,
  applyReport,
  applyUsage,
  decideAdmission,
  decideShare,
  EMPTY_ADMISSION,
  isCrowded,
  laterMs,
  NO_USAGE,
  type UsageState,
} from "../admission/mod.ts";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type Organisation,
  type OrganisationId,
  type PipelineSpec,
  type Plan,
  type PoolName,
  type Priority,
  type Refusal,
  RefusalReason,
  type StageResult,
  type StageSpec,
  type TargetId,
  type TargetLoad,
} from "../model/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";

/** What of a request the admission looks at. */
export interface AdmittedRequest {
  readonly organisation: Organisation;
  readonly plan: Plan;
  readonly spec: PipelineSpec;
  /** Monotonic time at which the answer is due, in milliseconds. */
  readonly deadlineAt: number;
}

/** Refusals that tell of a lack of capacity. */
const CROWDED: ReadonlySet<string> = new Set([
  RefusalReason.OverLimit,
  RefusalReason.ColdTarget,
  RefusalReason.DeadlineExceeded,
]);

/** Lets requests in and learns from what becomes of their stages. */
export class AdmissionService {
  readonly #metrics: Metrics;
  readonly #random: () => number;
  #state: AdmissionState = EMPTY_ADMISSION;
  #usage: UsageState = NO_USAGE;

  constructor(opts: { metrics: Metrics; random?: () => number }) {
    this.#metrics = opts.metrics;
    this.#random = opts.random ?? Math.random;
  }

  /**
   * Lets a request in whose first `done` stages are known already. The result
   * ends the count of the request.
   */
  enter(req: AdmittedRequest, done = 0): Result<() => void, Refusal> {
    const now = monotonicMs();
    const organisation = req.organisation.id;
    const { maxConcurrent } = req.plan;
    const refusal =
      decideShare(this.#usage, { organisation, maxConcurrent }, now) ??
        decideAdmission(this.#state, {
          organisation,
          spec: req.spec,
          stages: req.spec.stages.slice(done),
          remainingMs: req.deadlineAt - now,
        }, { now, random: this.#random() });
    if (refusal) {
      this.#metrics.count("admission_refused_total", {
        reason: refusal.reason,
        pipeline: req.spec.name,
      });
      return err(refusal);
    }
    this.#usage = applyUsage(this.#usage, { kind: "enter", organisation }, now);
    return ok(() => this.#leave(organisation));
  }

  /** Expected time of the stages after `stage`, in milliseconds. */
  laterMs(spec: PipelineSpec, stage: StageSpec): number {
    return laterMs(this.#state, spec, stage);
  }

  /** True when the calls of an organisation wait at the gates of a pool. */
  isCrowded(
    call: { pool: PoolName; organisation: OrganisationId; priority: Priority },
  ): boolean {
    return isCrowded(this.#state, call, monotonicMs());
  }

  /** Takes notice of the outcome of a stage. */
  observe(
    req: AdmittedRequest,
    stage: StageSpec,
    outcome: Result<StageResult, Refusal>,
  ): void {
    const seen = outcome.match(
      (result) => result.replayed ? undefined : ranOf(result),
      ({ reason }) =>
        CROWDED.has(reason) ? { kind: "crowded" } as const : undefined,
    );
    if (!seen) return;
    this.#state = applyReport(this.#state, {
      organisation: req.organisation.id,
      spec: req.spec,
      stage,
      outcome: seen,
    }, monotonicMs());
  }

  /** Takes notice of the load that rides on an answer. */
  reportLoad(
    organisation: OrganisationId,
    target: TargetId,
    load: TargetLoad,
  ): void {
    if (load.organisationInHand === undefined) return;
    this.#usage = applyUsage(this.#usage, {
      kind: "report",
      organisation,
      target,
      inHand: load.organisationInHand,
    }, monotonicMs());
  }

  #leave(organisation: OrganisationId): void {
    const now = monotonicMs();
    this.#usage = applyUsage(this.#usage, { kind: "leave", organisation }, now);
  }
}

function ranOf({ serviceMs, queuedMs }: StageResult) {
  return { kind: "ran", serviceMs, queuedMs } as const;
}
