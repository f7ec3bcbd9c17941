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
import type { PoolPlan, TestbedPlan } from "./testbed.ts";

/** An organisation of an experiment; its key is derived from its id. */
export interface OrganisationPlan {
  readonly id: string;
  readonly plan: string;
}

/** Returns the key of an organisation, by which it authenticates. */
export function organisationKey(id: string): string {
  return `bench-key-${id}`;
}

/** Returns the row of an organisation in the organisation list. */
export function organisationRow({ id, plan }: OrganisationPlan): Organisation {
  return { id, plan, keySha256: sha256(organisationKey(id)) };
}

const DRAFT_TOKENS = 32;
const DEADLINE_MS = 4_000;
const EXPECTED_CALL_MS = 8;
const EXPECTED_DRAFT_MS = 80;
const MAX_CONCURRENT = 10_000;

const encodeStage: StageSpec = {
  name: "encode",
  kind: StageKind.Encode,
  pool: "encoders",
  idempotent: true,
  expectedMs: EXPECTED_CALL_MS,
};
const draftStage: StageSpec = {
  name: "draft",
  kind: StageKind.Generate,
  pool: "models",
  idempotent: true,
  expectedMs: EXPECTED_DRAFT_MS,
  maxTokens: DRAFT_TOKENS,
};
const fileStage: StageSpec = {
  name: "file",
  kind: StageKind.File,
  pool: "registry",
  idempotent: false,
  expectedMs: EXPECTED_CALL_MS,
};

/** Pipeline that encodes, then generates 32 tokens. */
export const DRAFT: PipelineSpec = {
  name: "draft",
  stages: [encodeStage, draftStage],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Pipeline that encodes, then files; the filing stage is not idempotent. */
export const FILING: PipelineSpec = {
  name: "filing",
  stages: [encodeStage, fileStage],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Pipeline that generates a short response to a long input. */
export const ASK: PipelineSpec = {
  name: "ask",
  stages: [{ ...draftStage, name: "ask", maxTokens: 8 }],
  durable: false,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
};

/** Two plans; `large` has three times the share of `standard`. */
export const USE_LIST: UseList = {
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

/** Default pools of an experiment: six engines and six services. */
export const POOLS: readonly PoolPlan[] = [
  { name: "models", kind: TargetKind.Engine, count: 6 },
  { name: "encoders", kind: TargetKind.Service, count: 3 },
  { name: "registry", kind: TargetKind.Service, count: 3 },
];

/** Request mix of the load tool: drafts and filings in equal shares. */
export const MIX = [
  { pipeline: DRAFT.name, weight: 1, deadlineMs: DEADLINE_MS, files: false },
  { pipeline: FILING.name, weight: 1, deadlineMs: DEADLINE_MS, files: true },
];

/**
 * Three failure domains with one entry each, the pools of {@linkcode POOLS} and
 * three organisations.
 */
export const SMALL_TESTBED: TestbedPlan = {
  domains: ["d1", "d2", "d3"],
  entriesPerDomain: 1,
  pools: POOLS,
  use: USE_LIST,
  organisations: [
    { id: "c1", plan: "large" },
    { id: "c2", plan: "standard" },
    { id: "c3", plan: "standard" },
  ],
};
