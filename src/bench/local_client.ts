/**
 * Clients of stand-ins in the same process. The engine client simulates the
 * delay of a message between two processes on one host.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import {
  type RunOptions,
  type TargetClient,
  type TargetFailure,
  type TargetResponse,
} from "../agent/mod.ts";
import { sleep } from "../kernel/mod.ts";
import {
  Priority,
  promptOf,
  RefusalReason,
  type StageCall,
} from "../model/mod.ts";
import type { Engine, SimulatedService } from "../standin/mod.ts";

/** Delay of a message between the agent and its target, in milliseconds. */
const HOP_MS = 0.2;
const DEFAULT_MAX_TOKENS = 256;

/** Client of an engine stand-in in this process. */
export class LocalEngineClient implements TargetClient {
  readonly #engine: Engine;

  constructor(engine: Engine) {
    this.#engine = engine;
  }

  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure> {
    return ResultAsync.fromSafePromise(this.#complete(call, opts))
      .andThen((outcome) =>
        "reason" in outcome ? errAsync(outcome) : okAsync(outcome)
      );
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  async #complete(
    call: StageCall,
    opts: RunOptions,
  ): Promise<TargetResponse | TargetFailure> {
    await sleep(HOP_MS);
    if (this.#engine.isDown) return failure({ mayHaveRun: false, cold: true });
    const cold = this.#engine.marksCold;
    const maxTokens = call.maxTokens ?? DEFAULT_MAX_TOKENS;
    const tokens = this.#engine.complete({
      prompt: promptOf(call),
      maxTokens,
      priority: call.priority === Priority.Batch ? 1 : 0,
    }, opts.signal);
    if (!tokens) return failure({ mayHaveRun: false, cold });
    const pieces: string[] = [];
    if (cold) opts.onProgress?.({ cold });
    for await (const text of tokens) {
      if (pieces.length === 0) opts.onProgress?.({ cold: false });
      pieces.push(text);
      opts.onText(text);
    }
    if (pieces.length < maxTokens) {
      return failure({ mayHaveRun: true, cold: !opts.signal.aborted });
    }
    return { output: { text: pieces.join("") }, tokens: pieces.length };
  }
}

/** Client of a service stand-in in this process. */
export class LocalServiceClient implements TargetClient {
  readonly #service: SimulatedService;

  constructor(service: SimulatedService) {
    this.#service = service;
  }

  run(call: StageCall): ResultAsync<TargetResponse, TargetFailure> {
    const { input, kind } = call;
    const key = call.idempotencyKey ?? "";
    return ResultAsync.fromSafePromise(this.#service.run(kind, { input, key }))
      .map((output) => ({ output, tokens: 0 }));
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

function failure(
  opts: { mayHaveRun: boolean; cold: boolean },
): TargetFailure {
  return {
    ...opts,
    reason: RefusalReason.TargetFailed,
    detail: "The engine did not complete the call",
  };
}
