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
import type { SimulationPlan } from "./simulation.ts";

const DRAFT_TOKENS = 32;
const DOSSIER_TOKENS = 128;
const DEADLINE_MS = 4_000;
const DOSSIER_DEADLINE_MS = 20_000;
const MAX_CONCURRENT = 100_000;

function pipelineSpec(
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

/** Pipeline of short interactive requests. */
export const DRAFT = pipelineSpec("draft", {
  tokens: DRAFT_TOKENS,
  priority: Priority.Interactive,
  deadlineMs: DEADLINE_MS,
});

/** Pipeline of long batch requests, which can wait. */
export const DOSSIER = pipelineSpec("dossier", {
  tokens: DOSSIER_TOKENS,
  priority: Priority.Batch,
  deadlineMs: DOSSIER_DEADLINE_MS,
});

/** Two plans; `large` has three times the share of `standard`. */
export const SIMULATION_USE: UseList = {
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

/** Engine that queues every completion, as real ones do, and refuses none. */
export const QUEUEING_ENGINE: Partial<EngineConfig> = {
  stepMs: 10,
  stepMsPerCompletion: 0.3,
  maxBatch: 8,
  maxWaiting: 1_000_000,
};

/** Four engines, two encoders, three entries. */
export const SIMULATION_PLAN: SimulationPlan = {
  engines: 4,
  encoders: 2,
  entries: 3,
  engine: QUEUEING_ENGINE,
  use: SIMULATION_USE,
  maxLimit: 32,
};
