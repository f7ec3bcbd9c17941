/**
 * Plans, pipelines and pools of the experiments under a paused clock.
 *
 * @module
 */

import {
  type PipelineSpec,
  Priority,
  StageKind,
  type UseList,
} from "../model/mod.ts";
import type { EngineConfig } from "../standin/mod.ts";
import type { LabPlan } from "./lab.ts";

const DRAFT_TOKENS = 32;
const DOSSIER_TOKENS = 128;
const DEADLINE_MS = 4_000;
const DOSSIER_DEADLINE_MS = 20_000;
const MAX_CONCURRENT = 100_000;

function pipeline(
  name: string,
  opts: { tokens: number; priority: Priority; deadlineMs: number },
): PipelineSpec {
  return {
    name,
    stages: [
      {
        name: "encode",
        kind: StageKind.Encode,
        pool: "encoders",
        idempotent: true,
        expectedMs: 8,
      },
      {
        name: "draft",
        kind: StageKind.Generate,
        pool: "models",
        idempotent: true,
        expectedMs: 400,
        maxTokens: opts.tokens,
      },
    ],
    durable: false,
    priority: opts.priority,
    deadlineMs: opts.deadlineMs,
  };
}

/** Short interactive work. */
export const DRAFT = pipeline("draft", {
  tokens: DRAFT_TOKENS,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
});

/** Long work that may wait. */
export const DOSSIER = pipeline("dossier", {
  tokens: DOSSIER_TOKENS,
  priority: Priority.Batch,
  deadlineMs: DOSSIER_DEADLINE_MS,
});

/** One plan for all organisations and one with three times its share. */
export const LAB_USE: UseList = {
  plans: [
    {
      name: "standard",
      weight: 1,
      maxConcurrent: MAX_CONCURRENT,
      pipelines: [DRAFT.name, DOSSIER.name],
    },
    {
      name: "large",
      weight: 3,
      maxConcurrent: MAX_CONCURRENT,
      pipelines: [DRAFT.name, DOSSIER.name],
    },
  ],
  pipelines: [DRAFT, DOSSIER],
};

/** An engine that takes every completion and makes it wait, as real ones do. */
export const QUEUEING_ENGINE: Partial<EngineConfig> = {
  stepMs: 10,
  stepMsPerCompletion: 0.3,
  maxBatch: 8,
  maxWaiting: 1_000_000,
};

/** Four engines, two encoders, three entries. */
export const LAB_PLAN: LabPlan = {
  engines: 4,
  encoders: 2,
  entries: 3,
  engine: QUEUEING_ENGINE,
  use: LAB_USE,
  maxLimit: 32,
};
