/**
 * Race between the first attempt at an idempotent call and its hedge.
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

function otherAttemptStreamed(): Refusal {
  return outcomeUnknown(
    RefusalReason.Cancelled,
    "The text of another attempt was passed on",
    RETRY_AFTER_MS,
  );
}
