/**
 * Admission of whole pipelines at an entry, before the first stage consumes any
 * capacity.
 *
 * The expected time of a request is the sum, over its stages, of the measured
 * service time and the wait at the gates; responses carry both. A stage that
 * has never run counts with its configured time. Waits and the
 * share of calls that the gates accept are recorded by organisation, so that
 * only an organisation that sends too much is refused early.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import {
  notRun,
  type OrganisationId,
  type PipelineSpec,
  type PoolName,
  Priority,
  type Refusal,
  RefusalReason,
  type StageSpec,
} from "../model/mod.ts";
import { addSample, type Estimate, meanMs } from "../telemetry/mod.ts";

/** State of the admission of one entry. */
export interface AdmissionState {
  /** Service times by pipeline and stage. */
  readonly service: ReadonlyMap<string, Estimate>;
  /** Waits and acceptance by pool, organisation and priority. */
  readonly flows: ReadonlyMap<string, FlowStats>;
}

/** Statistics of an organisation's calls of one priority at a pool's gates. */
interface FlowStats {
  readonly wait?: Estimate;
  /** Decayed count of the calls sent. */
  readonly sent: number;
  /** Decayed count of the calls that the gates accepted. */
  readonly accepted: number;
  /** Time of the last change, monotonic, in milliseconds. */
  readonly at: number;
}

/** A request to be admitted. */
export interface AdmissionRequest {
  readonly organisation: OrganisationId;
  readonly spec: PipelineSpec;
  /** Stages that are still to run. */
  readonly stages: readonly StageSpec[];
  /** Time left until the deadline of the response, in milliseconds. */
  readonly remainingMs: number;
}

/** Outcome of a stage call at the gates. */
export interface StageReport {
  readonly organisation: OrganisationId;
  readonly spec: PipelineSpec;
  readonly stage: StageSpec;
  readonly outcome:
    | {
      readonly kind: "ran";
      readonly serviceMs: number;
      readonly queuedMs: number;
    }
    /** Refused for lack of capacity. */
    | { readonly kind: "congested" };
}

/** Half-life of the counts of calls, in milliseconds. */
const COUNT_HALF_LIFE_MS = 1_000;
/** Calls sent for each accepted one before requests are refused early. */
const MAX_SENT_PER_ACCEPTED = {
  [Priority.Interactive]: 1.3,
  [Priority.Batch]: 1.1,
} as const;
/** Calls sent below which the share accepted is not significant. */
const MIN_SENT_CALLS = 8;
/** Maximum number of flows; the least recently changed one is evicted. */
export const MAX_FLOWS = 512;
const RETRY_AFTER_MS = 1_000;
/** Mean wait at the gates above which a pool counts as congested, in ms. */
const CONGESTED_WAIT_MS = 20;

/** Initial state, without any samples. */
export const EMPTY_ADMISSION: AdmissionState = {
  service: new Map(),
  flows: new Map(),
};

/**
 * Returns a refusal for a request that is not expected to meet its deadline or
 * that falls into the share to refuse early; undefined when it may run.
 * `random` is a number in [0, 1).
 */
export function decideAdmission(
  state: AdmissionState,
  req: AdmissionRequest,
  opts: { now: number; random: number },
): Refusal | undefined {
  const neededMs = expectedPipelineMs(state, req, opts.now);
  if (neededMs > req.remainingMs) {
    return notRun(
      RefusalReason.DeadlineTooShort,
      `The pipeline takes about ${Math.ceil(neededMs)} ms at present`,
      RETRY_AFTER_MS,
    );
  }
  const share = refusalShare(state, req, opts.now);
  invariant(
    share >= 0 && share <= 1,
    "refusal-share",
    () => `share=${share}`,
  );
  return opts.random < share
    ? notRun(
      RefusalReason.OverLimit,
      "The targets have no capacity left for the organisation",
      RETRY_AFTER_MS,
    )
    : undefined;
}

/** Returns the expected time of a request's stages with waits, in ms. */
export function expectedPipelineMs(
  state: AdmissionState,
  req: Pick<AdmissionRequest, "organisation" | "spec" | "stages">,
  now: number,
): number {
  return req.stages.reduce((sum, stage) => {
    const wait = state.flows.get(flowKey(req, stage))?.wait;
    return sum + expectedStageMs(state, req.spec, stage) + meanMs(wait, now);
  }, 0);
}

/** Returns the expected service time of the stages after `stage`, in ms. */
export function laterMs(
  state: AdmissionState,
  spec: PipelineSpec,
  stage: StageSpec,
): number {
  return spec.stages.slice(spec.stages.indexOf(stage) + 1)
    .reduce((sum, later) => sum + expectedStageMs(state, spec, later), 0);
}

/** Applies the outcome of a stage call at the gates. */
export function applyReport(
  state: AdmissionState,
  report: StageReport,
  now: number,
): AdmissionState {
  const { outcome } = report;
  const key = flowKey(report, report.stage);
  const flow = state.flows.get(key);
  const ran = outcome.kind === "ran";
  const next: FlowStats = {
    wait: ran ? addSample(flow?.wait, outcome.queuedMs, now) : flow?.wait,
    sent: decayedCount(flow?.sent, flow, now) + 1,
    accepted: decayedCount(flow?.accepted, flow, now) + (ran ? 1 : 0),
    at: now,
  };
  const flows = withFlow(state.flows, key, next);
  if (!ran) return { ...state, flows };
  const workClass = workClassOf(report.spec, report.stage);
  const service = new Map(state.service).set(
    workClass,
    addSample(state.service.get(workClass), outcome.serviceMs, now),
  );
  return { service, flows };
}

/**
 * True when an organisation's calls wait at the gates of a pool. A second call
 * sent to save time would then only take the slot of another call.
 */
export function isCongested(
  state: AdmissionState,
  call: { pool: PoolName; organisation: OrganisationId; priority: Priority },
  now: number,
): boolean {
  const { pool, organisation, priority } = call;
  const wait = state.flows.get(flowName(pool, organisation, priority))?.wait;
  return meanMs(wait, now) > CONGESTED_WAIT_MS;
}

/** Returns the highest share to refuse of the stages' pools, in [0, 1]. */
function refusalShare(
  state: AdmissionState,
  req: AdmissionRequest,
  now: number,
): number {
  const shares = req.stages.map((stage) => {
    const flow = state.flows.get(flowKey(req, stage));
    const sent = decayedCount(flow?.sent, flow, now);
    if (sent < MIN_SENT_CALLS) return 0;
    const accepted = decayedCount(flow?.accepted, flow, now);
    const allowed = accepted * MAX_SENT_PER_ACCEPTED[req.spec.priority];
    return Math.max(0, 1 - allowed / sent);
  });
  return Math.max(0, ...shares);
}

function expectedStageMs(
  state: AdmissionState,
  spec: PipelineSpec,
  stage: StageSpec,
): number {
  return state.service.get(workClassOf(spec, stage))?.meanMs ??
    stage.expectedMs;
}

function workClassOf(spec: PipelineSpec, stage: StageSpec): string {
  return `${spec.name}/${stage.name}`;
}

function flowKey(
  req: { organisation: OrganisationId; spec: PipelineSpec },
  stage: StageSpec,
): string {
  return flowName(stage.pool, req.organisation, req.spec.priority);
}

function flowName(
  pool: PoolName,
  organisation: OrganisationId,
  priority: Priority,
): string {
  return `${pool}/${organisation}/${priority}`;
}

function decayedCount(
  count: number | undefined,
  flow: FlowStats | undefined,
  now: number,
): number {
  if (count === undefined || !flow) return 0;
  return count * 0.5 ** ((now - flow.at) / COUNT_HALF_LIFE_MS);
}

/** Returns the flows with `flow` as the one that changed last. */
function withFlow(
  flows: ReadonlyMap<string, FlowStats>,
  key: string,
  flow: FlowStats,
): ReadonlyMap<string, FlowStats> {
  const next = new Map(flows);
  next.delete(key);
  next.set(key, flow);
  const [oldest] = next.keys();
  if (next.size > MAX_FLOWS && oldest !== undefined) next.delete(oldest);
  return next;
}
