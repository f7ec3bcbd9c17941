/**
 * Baseline of the experiments under a paused clock: round robin over the
 * targets, no gate, plain retries.
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
import type { Lab, LabTarget } from "./lab.ts";
import type { LabAnswer, LabRequest } from "./lab_load.ts";

const MAX_ATTEMPTS = 3;

/** Runs requests against the targets of a lab. */
export class RoundRobin {
  readonly #lab: Lab;
  readonly #turns = new Map<string, number>();

  constructor(lab: Lab) {
    this.#lab = lab;
  }

  /** Runs all stages. */
  async run(req: LabRequest): Promise<LabAnswer> {
    const results: StageResult[] = [];
    for (const stage of req.spec.stages) {
      const result = await this.#runStage(req, stage, results.at(-1));
      if (!result) return { refused: false };
      results.push(result);
    }
    return { results, refused: false };
  }

  async #runStage(
    req: LabRequest,
    stage: StageSpec,
    previous: StageResult | undefined,
  ): Promise<StageResult | undefined> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const leftMs = req.deadlineAt - monotonicMs();
      if (leftMs <= 0) return undefined;
      const { client, target } = this.#next(stage.pool);
      const input = {
        request: { marker: req.arrival.marker },
        previous: previous?.output ?? null,
      };
      const call = { ...callOf(req, stage), target: target.id, input };
      const startedAt = monotonicMs();
      const answer = await client.run(call, {
        signal: timeoutSignal(leftMs),
        onText: () => {},
      });
      if (answer.isOk()) {
        const { output, tokens } = answer.value;
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

  #next(pool: string): LabTarget {
    const targets = this.#lab.targets
      .filter(({ target }) => target.pool === pool);
    const turn = this.#turns.get(pool) ?? 0;
    this.#turns.set(pool, turn + 1);
    return targets[turn % targets.length] as LabTarget;
  }
}

function callOf(req: LabRequest, stage: StageSpec): StageCall {
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
