/**
 * Race between the attempts at one idempotent call.
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

/** An attempt that was started. */
export interface Sent {
  readonly call: StageCall;
  readonly ended: Promise<AttemptOutcome>;
}

/** First result of the attempts that may win; a refusal when all fail. */
export async function firstSuccess(
  racers: readonly Sent[],
  stage: StageDispatch,
): Promise<Result<StageResult, Refusal>> {
  const results = racers.map(async ({ call, ended }) => {
    const { outcome } = await ended;
    if (outcome.isErr()) throw new AttemptError(outcome.error);
    if (!stage.mayWin(call)) throw new AttemptError(overtaken());
    return outcome.value;
  });
  try {
    return ok(await Promise.any(results));
  } catch (failure) {
    const errors = (failure as AggregateError).errors as AttemptError[];
    return err(finalRefusal(errors.map(({ refusal }) => refusal)));
  }
}

/** Carries the refusal of a failed attempt. */
class AttemptError extends Error {
  override readonly name = "AttemptError";
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.detail);
    this.refusal = refusal;
  }
}

function overtaken(): Refusal {
  return outcomeUnknown(
    RefusalReason.Cancelled,
    "The text of another attempt was passed on",
    RETRY_AFTER_MS,
  );
}
