/**
 * What the refusal of one stage says about the whole request.
 *
 * "Not run" of a request speaks of its non-idempotent stages: none of them ran
 * or will run on behalf of the request. Idempotent stages leave nothing behind
 * that a caller could see.
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

/** Refusal of the request whose next stage was refused. */
export function requestRefusal(run: Run, refusal: Refusal): Refusal {
  const ran = nonIdempotentRan(run);
  if (ran.length > 0) return partlyRun(ran, refusal);
  if (refusal.proof === Proof.NotRun) return refusal;
  const refused = nextStage(run);
  const isBeforeAny = refused?.idempotent === true &&
    run.spec.stages.some(({ idempotent }) => !idempotent);
  return isBeforeAny ? notReached(refusal) : refusal;
}

/** Names of the non-idempotent stages that ran. */
function nonIdempotentRan(run: Run): readonly StageName[] {
  return run.spec.stages.slice(0, run.done)
    .filter(({ idempotent }) => !idempotent)
    .map(({ name }) => name);
}

function partlyRun(ran: readonly StageName[], refusal: Refusal): Refusal {
  return outcomeUnknown(
    refusal.reason,
    `The request ran in part: ${ran.join(", ")} done. ${refusal.detail}. ` +
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
