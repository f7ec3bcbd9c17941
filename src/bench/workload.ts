/**
 * Pipelines, plans and organisations that the experiments share.
 *
 * @module
 */

import {
  type Organisation,
  type PipelineSpec,
  Priority,
  sha256,
  StageKind,
  type StageSpec,
  TargetKind,
  type UseList,
} from "../model/mod.ts";
import type { PoolPlan, WorldPlan } from "./world.ts";

/** An organisation of an experiment; its key follows from its name. */
export interface OrganisationPlan {
  readonly id: string;
  readonly plan: string;
}

/** Key by which an organisation of an experiment authenticates. */
export function keyOfOrganisation(id: string): string {
  return `bench-key-${id}`;
}

/** Row of the organisation list. */
export function organisationOf({ id, plan }: OrganisationPlan): Organisation {
  return { id, plan, keySha256: sha256(keyOfOrganisation(id)) };
}

const DRAFT_TOKENS = 32;
const DEADLINE_MS = 4_000;
const EXPECTED_CALL_MS = 8;
const EXPECTED_DRAFT_MS = 80;
const MAX_CONCURRENT = 10_000;

const encode: StageSpec = {
  name: "encode",
  kind: StageKind.Encode,
  pool: "encoders",
  idempotent: true,
  expectedMs: EXPECTED_CALL_MS,
};
const draft: StageSpec = {
  name: "draft",
  kind: StageKind.Generate,
  pool: "models",
  idempotent: true,
  expectedMs: EXPECTED_DRAFT_MS,
  maxTokens: DRAFT_TOKENS,
};
const file: StageSpec = {
  name: "file",
  kind: StageKind.File,
  pool: "registry",
  idempotent: false,
  expectedMs: EXPECTED_CALL_MS,
};

/** Encodes, then generates 32 tokens. */
export const DRAFT: PipelineSpec = {
  name: "draft",
  stages: [encode, draft],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Encodes, then files without the right to repeat. */
export const FILING: PipelineSpec = {
  name: "filing",
  stages: [encode, file],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Generates a short answer about a long input. */
export const ASK: PipelineSpec = {
  name: "ask",
  stages: [{ ...draft, name: "ask", maxTokens: 8 }],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Two plans; an organisation on `large` has three times the share. */
export const USE: UseList = {
  plans: [
    {
      name: "large",
      weight: 3,
      maxConcurrent: MAX_CONCURRENT,
      pipelines: [DRAFT.name, FILING.name, ASK.name],
    },
    {
      name: "standard",
      weight: 1,
      maxConcurrent: MAX_CONCURRENT,
      pipelines: [DRAFT.name, FILING.name, ASK.name],
    },
  ],
  pipelines: [DRAFT, FILING, ASK],
};

/** Pools of the usual experiment: six engines, six services. */
export const POOLS: readonly PoolPlan[] = [
  { name: "models", kind: TargetKind.Engine, count: 6 },
  { name: "encoders", kind: TargetKind.Service, count: 3 },
  { name: "registry", kind: TargetKind.Service, count: 3 },
];

/** Draft and filing requests in equal shares, for the load tool. */
export const MIX = [
  { pipeline: DRAFT.name, weight: 1, deadlineMs: DEADLINE_MS, files: false },
  { pipeline: FILING.name, weight: 1, deadlineMs: DEADLINE_MS, files: true },
];

/** Three domains with one entry each, six engines and three organisations. */
export const SMALL_WORLD: WorldPlan = {
  domains: ["d1", "d2", "d3"],
  entriesPerDomain: 1,
  pools: POOLS,
  use: USE,
  organisations: [
    { id: "c1", plan: "large" },
    { id: "c2", plan: "standard" },
    { id: "c3", plan: "standard" },
  ],
};
