/**
 * Admission of whole pipelines at an entry, before the first stage spends
 * anything.
 *
 * The estimate of a request is the sum over its stages of the measured service
 * time and of the wait at the gates, which both ride on answers. Waits and the
 * share of calls that the gates accept are kept by organisation, so that a
 * organisation that sends too much is refused early and the others are not.
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
  readonly flows: ReadonlyMap<string, Flow>;
}

/** What the gates of a pool did with one organisation's calls. */
interface Flow {
  readonly wait?: Estimate;
  /** Decayed count of the calls sent. */
  readonly sent: number;
  /** Decayed count of the calls that the gates let run. */
  readonly accepted: number;
  /** Time of the last change, monotonic, in milliseconds. */
  readonly at: number;
}

/** A request that asks to be let in. */
export interface AdmissionRequest {
  readonly organisation: OrganisationId;
  readonly spec: PipelineSpec;
  /** Stages that are still to run. */
  readonly stages: readonly StageSpec[];
  /** Time left before the answer is due, in milliseconds. */
  readonly remainingMs: number;
}

/** How the gates answered a stage call. */
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
    | { readonly kind: "crowded" };
}

/** Time in which the counts of calls halve, in milliseconds. */
const HALF_LIFE_MS = 1_000;
/** Calls sent for each accepted one before requests are refused early. */
const SENT_PER_ACCEPTED = {
  [Priority.Interactive]: 1.3,
  [Priority.Batch]: 1.1,
} as const;
/** Calls sent below which acceptance says nothing. */
const MIN_SENT = 8;
/** Flows that are remembered; the one without calls for longest is dropped. */
export const MAX_FLOWS = 512;
const RETRY_MS = 1_000;
/** Mean wait at the gates above which a pool counts as crowded, in ms. */
const CROWDED_WAIT_MS = 20;

/** Admission that knows nothing yet. */
export const EMPTY_ADMISSION: AdmissionState = {
  service: new Map(),
  flows: new Map(),
};

/**
 * Refusal of a request that would not end in time, or undefined when it may
 * run. `random` is a number in [0, 1).
 */
export function decideAdmission(
  state: AdmissionState,
  req: AdmissionRequest,
  opts: { now: number; random: number },
): Refusal | undefined {
  const neededMs = pipelineMs(state, req, opts.now);
  if (neededMs > req.remainingMs) {
    return notRun(
      RefusalReason.DeadlineTooShort,
      `The pipeline takes about ${Math.ceil(neededMs)} ms at present`,
      RETRY_MS,
    );
  }
  const refused = refusalShare(state, req, opts.now);
  invariant(
    refused >= 0 && refused <= 1,
    "refusal-share",
    () => `share=${refused}`,
  );
  return opts.random < refused
    ? notRun(
      RefusalReason.OverLimit,
      "The targets have no capacity left for the organisation",
      RETRY_MS,
    )
    : undefined;
}

/** Expected time of the stages of a request, waits included, in ms. */
export function pipelineMs(
  state: AdmissionState,
  req: Pick<AdmissionRequest, "organisation" | "spec" | "stages">,
  now: number,
): number {
  return req.stages.reduce((sum, stage) => {
    const wait = state.flows.get(flowKey(req, stage))?.wait;
    return sum + stageMs(state, req.spec, stage) + meanMs(wait, now);
  }, 0);
}

/** Expected service time of the stages after `stage`, in milliseconds. */
export function laterMs(
  state: AdmissionState,
  spec: PipelineSpec,
  stage: StageSpec,
): number {
  return spec.stages.slice(spec.stages.indexOf(stage) + 1)
    .reduce((sum, later) => sum + stageMs(state, spec, later), 0);
}

/** State after the gates answered a stage call. */
export function applyReport(
  state: AdmissionState,
  report: StageReport,
  now: number,
): AdmissionState {
  const { outcome } = report;
  const key = flowKey(report, report.stage);
  const flow = state.flows.get(key);
  const ran = outcome.kind === "ran";
  const next: Flow = {
    wait: ran ? addSample(flow?.wait, outcome.queuedMs, now) : flow?.wait,
    sent: decayed(flow?.sent, flow, now) + 1,
    accepted: decayed(flow?.accepted, flow, now) + (ran ? 1 : 0),
    at: now,
  };
  const flows = withFlow(state.flows, key, next);
  if (!ran) return { ...state, flows };
  const workClass = classOf(report.spec, report.stage);
  const service = new Map(state.service).set(
    workClass,
    addSample(state.service.get(workClass), outcome.serviceMs, now),
  );
  return { service, flows };
}

/**
 * True when an organisation's calls wait at the gates of a pool. A second call to
 * save time would then only take the place of another one.
 */
export function isCrowded(
  state: AdmissionState,
  call: { pool: PoolName; organisation: OrganisationId; priority: Priority },
  now: number,
): boolean {
  const { pool, organisation, priority } = call;
  const wait = state.flows.get(flowName(pool, organisation, priority))?.wait;
  return meanMs(wait, now) > CROWDED_WAIT_MS;
}

/** Highest share to refuse over the pools of the stages, in [0, 1]. */
function refusalShare(
  state: AdmissionState,
  req: AdmissionRequest,
  now: number,
): number {
  const shares = req.stages.map((stage) => {
    const flow = state.flows.get(flowKey(req, stage));
    const sent = decayed(flow?.sent, flow, now);
    if (sent < MIN_SENT) return 0;
    const accepted = decayed(flow?.accepted, flow, now);
    const allowed = accepted * SENT_PER_ACCEPTED[req.spec.priority];
    return Math.max(0, 1 - allowed / sent);
  });
  return Math.max(0, ...shares);
}

function stageMs(
  state: AdmissionState,
  spec: PipelineSpec,
  stage: StageSpec,
): number {
  return state.service.get(classOf(spec, stage))?.meanMs ?? stage.expectedMs;
}

function classOf(spec: PipelineSpec, stage: StageSpec): string {
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

function decayed(
  count: number | undefined,
  flow: Flow | undefined,
  now: number,
): number {
  if (count === undefined || !flow) return 0;
  return count * 0.5 ** ((now - flow.at) / HALF_LIFE_MS);
}

/** Flows with `flow` as the one that changed last. */
function withFlow(
  flows: ReadonlyMap<string, Flow>,
  name: string,
  flow: Flow,
): ReadonlyMap<string, Flow> {
  const next = new Map(flows);
  next.delete(name);
  next.set(name, flow);
  const [oldest] = next.keys();
  if (next.size > MAX_FLOWS && oldest !== undefined) next.delete(oldest);
  return next;
}
