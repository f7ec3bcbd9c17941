/**
 * The operators' two lists and the availability list, as values.
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

/** What a stage does; it decides how the input of the call is built. */
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
  /** False when a second run of the call does harm. */
  readonly idempotent: boolean;
  /** Most tokens that a generate stage may produce. */
  readonly maxTokens?: number;
  /** Model or adapter that a generate stage asks for. */
  readonly model?: string;
  /** Expected time of an unloaded call, in milliseconds. */
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
  /** True when each stage's result is kept for a resumed request. */
  readonly durable: boolean;
  readonly priority: Priority;
  /** Deadline for a request that names none, in milliseconds. */
  readonly deadlineMs: number;
}

/** An organisation and the plan that it is on. */
export interface Organisation {
  readonly id: OrganisationId;
  readonly plan: string;
  /** SHA-256 of the organisation's key, in lower-case hexadecimal. */
  readonly keySha256: string;
}

/** What the organisations on a plan may use. */
export interface Plan {
  readonly name: string;
  /** Weight of each organisation on the plan in the fair shares of a gate. */
  readonly weight: number;
  /** Most requests that one organisation may have in hand across the fleet. */
  readonly maxConcurrent: number;
  readonly pipelines: readonly PipelineName[];
}

/** First list: the organisations and their plans. */
export interface OrganisationList {
  readonly organisations: readonly Organisation[];
}

/** Second list: what each plan may use. */
export interface UseList {
  readonly plans: readonly Plan[];
  readonly pipelines: readonly PipelineSpec[];
}

/** What operators have taken out of service. */
export interface Availability {
  readonly domainsOut: readonly DomainName[];
  readonly hostsOut: readonly HostId[];
}

/** Everything that operators decide, under one version. */
export interface Lists {
  /** Grows by one with every accepted change. */
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
