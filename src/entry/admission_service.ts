/**
 * Admission control of an entry: keeps the state on which the decisions depend.
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
  EMPTY_USAGE,
  isCongested,
  laterMs,
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

/** Fields of a request that admission depends on. */
export interface AdmittedRequest {
  readonly organisation: Organisation;
  readonly plan: Plan;
  readonly spec: PipelineSpec;
  /** Deadline of the response, in monotonic milliseconds. */
  readonly deadlineAt: number;
}

/** Refusal reasons that indicate a lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<string> = new Set([
  RefusalReason.OverLimit,
  RefusalReason.ColdTarget,
  RefusalReason.DeadlineExceeded,
]);

/** Admits requests and observes the outcomes of their stages. */
export class AdmissionService {
  readonly #metrics: Metrics;
  readonly #random: () => number;
  #state: AdmissionState = EMPTY_ADMISSION;
  #usage: UsageState = EMPTY_USAGE;

  constructor(opts: { metrics: Metrics; random?: () => number }) {
    this.#metrics = opts.metrics;
    this.#random = opts.random ?? Math.random;
  }

  /**
   * Admits a request whose first `done` stages already have results. The
   * request counts as in flight until the returned function is called.
   */
  admit(req: AdmittedRequest, done = 0): Result<() => void, Refusal> {
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

  /** Returns the expected time of the stages after `stage`, in milliseconds. */
  laterMs(spec: PipelineSpec, stage: StageSpec): number {
    return laterMs(this.#state, spec, stage);
  }

  /** True when the calls of an organisation queue at the gates of a pool. */
  isCongested(
    call: { pool: PoolName; organisation: OrganisationId; priority: Priority },
  ): boolean {
    return isCongested(this.#state, call, monotonicMs());
  }

  /**
   * Records the outcome of a stage. Replayed results and refusals for other
   * reasons than capacity are ignored.
   */
  observe(
    req: AdmittedRequest,
    stage: StageSpec,
    outcome: Result<StageResult, Refusal>,
  ): void {
    const report = outcome.match(
      (result) => result.replayed ? undefined : ranReport(result),
      ({ reason }) =>
        CAPACITY_REASONS.has(reason)
          ? { kind: "congested" } as const
          : undefined,
    );
    if (!report) return;
    this.#state = applyReport(this.#state, {
      organisation: req.organisation.id,
      spec: req.spec,
      stage,
      outcome: report,
    }, monotonicMs());
  }

  /**
   * Records the number of an organisation's calls at a target's gate, if the
   * load report of a response has it.
   */
  recordLoad(
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

function ranReport({ serviceMs, queuedMs }: StageResult) {
  return { kind: "ran", serviceMs, queuedMs } as const;
}
