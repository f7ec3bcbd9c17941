/**
 * Types of the operators' two lists and of the availability list.
 *
 * @module
 */

import type {
  DomainName,
  HostId,
  OrganisationId,
  PipelineName,
  PoolName,
  StageName,
} from "./ids.ts";

/**
 * Kind of work of a stage. Plain services take calls at a path for each kind;
 * only generate stages are routed by their prompts.
 */
export const StageKind = {
  Encode: "encode",
  Retrieve: "retrieve",
  Rerank: "rerank",
  Generate: "generate",
  File: "file",
  LookUp: "look-up",
} as const;
export type StageKind = typeof StageKind[keyof typeof StageKind];

/** One stage of a pipeline. */
export interface StageSpec {
  readonly name: StageName;
  readonly kind: StageKind;
  readonly pool: PoolName;
  /** False when running a call twice would do harm. */
  readonly idempotent: boolean;
  /** Maximum number of tokens that a generate stage may produce. */
  readonly maxTokens?: number;
  /** Model or adapter that a generate stage requests. */
  readonly model?: string;
  /** Expected time of a call without load, in milliseconds. */
  readonly expectedMs: number;
}

/** Priority of a pipeline's calls at a gate. */
export const Priority = {
  Interactive: "interactive",
  Batch: "batch",
} as const;
export type Priority = typeof Priority[keyof typeof Priority];

/** A pipeline of stages that run one after the other. */
export interface PipelineSpec {
  readonly name: PipelineName;
  readonly stages: readonly StageSpec[];
  /** True when the result of each stage is stored for resumed requests. */
  readonly durable: boolean;
  readonly priority: Priority;
  /** Deadline of requests that specify none, in milliseconds. */
  readonly deadlineMs: number;
}

/** An organisation and its plan. */
export interface Organisation {
  readonly id: OrganisationId;
  readonly plan: string;
  /** SHA-256 of the organisation's key, in lower-case hexadecimal. */
  readonly keySha256: string;
}

/** Pipelines and limits of the organisations on a plan. */
export interface Plan {
  readonly name: string;
  /** Weight of each organisation on the plan in a gate's fair sharing. */
  readonly weight: number;
  /** Maximum number of requests of one organisation in flight in the fleet. */
  readonly maxConcurrent: number;
  readonly pipelines: readonly PipelineName[];
}

/** First list: the organisations and their plans. */
export interface OrganisationList {
  readonly organisations: readonly Organisation[];
}

/** Second list: the plans and the pipelines that they may use. */
export interface UseList {
  readonly plans: readonly Plan[];
  readonly pipelines: readonly PipelineSpec[];
}

/** Failure domains and hosts that operators have taken out of service. */
export interface Availability {
  readonly domainsOut: readonly DomainName[];
  readonly hostsOut: readonly HostId[];
}

/** All lists of the operators, under one version. */
export interface Lists {
  /** Increases by one with every accepted change. */
  readonly version: number;
  readonly organisations: OrganisationList;
  readonly use: UseList;
  readonly availability: Availability;
}

/** Lists before the first accepted change. */
export const EMPTY_LISTS: Lists = {
  version: 0,
  organisations: { organisations: [] },
  use: { plans: [], pipelines: [] },
  availability: { domainsOut: [], hostsOut: [] },
};
