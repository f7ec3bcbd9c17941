/**
 * Races between the attempts at one idempotent call.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import { finalRefusal } from "../retry/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { StageDispatch } from "./stage_dispatch.ts";

const RETRY_AFTER_MS = 1_000;

/** An attempt that is in flight or has ended. */
export interface StartedAttempt {
  readonly call: StageCall;
  readonly completion: Promise<AttemptOutcome>;
  /** Resolves when the response is silent. */
  readonly silent: Promise<void>;
}

/**
 * Returns the first result of an attempt that may win. When all attempts fail,
 * returns their final refusal.
 */
export async function firstSuccess(
  attempts: readonly StartedAttempt[],
  stage: StageDispatch,
): Promise<Result<StageResult, Refusal>> {
  const results = attempts.map(async ({ call, completion }) => {
    const { outcome } = await completion;
    if (outcome.isErr()) throw new AttemptError(outcome.error);
    if (!stage.mayWin(call)) throw new AttemptError(otherAttemptStreamed());
    return outcome.value;
  });
  return await anyResult(results);
}

/** Returns the first result; when there is none, the final refusal. */
export async function firstResult(
  outcomes: readonly Promise<Result<StageResult, Refusal>>[],
): Promise<Result<StageResult, Refusal>> {
  return await anyResult(outcomes.map(async (pending) => {
    const outcome = await pending;
    if (outcome.isErr()) throw new AttemptError(outcome.error);
    return outcome.value;
  }));
}

/** Resolves with true once no attempt makes progress and one has not ended. */
export async function areAllSilent(
  attempts: readonly StartedAttempt[],
): Promise<boolean> {
  const states = await Promise.all(
    attempts.map(({ completion, silent }) =>
      Promise.race([
        completion.then(({ outcome }) => outcome.isOk() ? "done" : "failed"),
        silent.then(() => "silent"),
      ])
    ),
  );
  return states.includes("silent") && !states.includes("done");
}

async function anyResult(
  results: readonly Promise<StageResult>[],
): Promise<Result<StageResult, Refusal>> {
  try {
    return ok(await Promise.any(results));
  } catch (failure) {
    const errors = (failure as AggregateError).errors as AttemptError[];
    return err(finalRefusal(errors.map(({ refusal }) => refusal)));
  }
}

/** Carries the refusal of a failed attempt through `Promise.any()`. */
class AttemptError extends Error {
  override readonly name = "AttemptError";
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.detail);
    this.refusal = refusal;
  }
}

/** Refusal of attempts whose responses are silent. */
export function attemptsSilent(): Refusal {
  return outcomeUnknown(
    RefusalReason.Silent,
    "The responses of all attempts are silent",
    RETRY_AFTER_MS,
  );
}

function otherAttemptStreamed(): Refusal {
  return outcomeUnknown(
    RefusalReason.Cancelled,
    "The text of another attempt was passed on",
    RETRY_AFTER_MS,
  );
}
