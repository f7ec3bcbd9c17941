/**
 * Refusal of a whole request, derived from the refusal of one of its stages.
 *
 * "Not run" of a request concerns its non-idempotent stages: none of them ran
 * or will run on behalf of the request. Idempotent stages have no effects that
 * a caller could observe.
 *
 * @module
 */

import {
  outcomeUnknown,
  Proof,
  type Refusal,
  type StageName,
} from "../model/mod.ts";
import { nextStage, type Run } from "./run.ts";

/** Returns the refusal of a request whose next stage was refused. */
export function requestRefusal(run: Run, refusal: Refusal): Refusal {
  const completed = completedNonIdempotent(run);
  if (completed.length > 0) return partlyRun(completed, refusal);
  if (refusal.proof === Proof.NotRun) return refusal;
  const refused = nextStage(run);
  const isBeforeAny = refused?.idempotent === true &&
    run.spec.stages.some(({ idempotent }) => !idempotent);
  return isBeforeAny ? notReached(refusal) : refusal;
}

/** Returns the names of the non-idempotent stages that ran. */
function completedNonIdempotent(run: Run): readonly StageName[] {
  return run.spec.stages.slice(0, run.done)
    .filter(({ idempotent }) => !idempotent)
    .map(({ name }) => name);
}

function partlyRun(names: readonly StageName[], refusal: Refusal): Refusal {
  return outcomeUnknown(
    refusal.reason,
    `The request ran in part: ${names.join(", ")} done. ${refusal.detail}. ` +
      "A repeat of the key goes on from there",
    refusal.retryAfterMs,
  );
}

function notReached(refusal: Refusal): Refusal {
  return {
    ...refusal,
    proof: Proof.NotRun,
    detail: `${refusal.detail}; no stage that may not be repeated was sent`,
  };
}
