/**
 * Baseline of the experiments under a paused clock: calls the targets in
 * round-robin order without a gate and retries a failed call on the next one.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  digest,
  type StageCall,
  type StageResult,
  type StageSpec,
} from "../model/mod.ts";
import type { Simulation, SimulationTarget } from "./simulation.ts";
import type {
  SimulationRequest,
  SimulationResponse,
} from "./simulation_load.ts";

const MAX_ATTEMPTS = 3;

/** Runs requests against the targets of a simulation. */
export class RoundRobin {
  readonly #simulation: Simulation;
  readonly #nextIndexes = new Map<string, number>();

  constructor(simulation: Simulation) {
    this.#simulation = simulation;
  }

  /** Runs all stages of a request. */
  async run(req: SimulationRequest): Promise<SimulationResponse> {
    const results: StageResult[] = [];
    for (const stage of req.spec.stages) {
      const result = await this.#runStage(req, stage, results.at(-1));
      if (!result) return { refused: false };
      results.push(result);
    }
    return { results, refused: false };
  }

  async #runStage(
    req: SimulationRequest,
    stage: StageSpec,
    previous: StageResult | undefined,
  ): Promise<StageResult | undefined> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const remainingMs = req.deadlineAt - monotonicMs();
      if (remainingMs <= 0) return undefined;
      const { client, target } = this.#next(stage.pool);
      const input = {
        request: { marker: req.arrival.marker },
        previous: previous?.output ?? null,
      };
      const call = { ...callOf(req, stage), target: target.id, input };
      const startedAt = monotonicMs();
      const response = await client.run(call, {
        signal: timeoutSignal(remainingMs),
        onText: () => {},
      });
      if (response.isOk()) {
        const { output, tokens } = response.value;
        return {
          callId: call.callId,
          stage: stage.name,
          target: target.id,
          output,
          digest: digest(output),
          tokens,
          serviceMs: monotonicMs() - startedAt,
          queuedMs: 0,
          replayed: false,
        } as StageResult;
      }
    }
  }

  #next(pool: string): SimulationTarget {
    const targets = this.#simulation.targets
      .filter(({ target }) => target.pool === pool);
    const index = this.#nextIndexes.get(pool) ?? 0;
    this.#nextIndexes.set(pool, index + 1);
    return targets[index % targets.length] as SimulationTarget;
  }
}

function callOf(req: SimulationRequest, stage: StageSpec): StageCall {
  return {
    callId: `${req.arrival.key}/${stage.name}`,
    requestId: req.arrival.key,
    organisation: req.arrival.organisation.id,
    pipeline: req.spec.name,
    stage: stage.name,
    kind: stage.kind,
    target: "",
    idempotent: true,
    fingerprint: "",
    priority: req.spec.priority,
    weight: 1,
    remainingMs: 0,
    listsVersion: 1,
    maxTokens: stage.maxTokens,
    input: null,
  };
}
