/**
 * Prompts of generate stages.
 *
 * @module
 */

import type { StageCall } from "./call.ts";
import { canonicalJson } from "./digest.ts";

/** Members of a call from which its prompt is built. */
export type PromptSource = Pick<StageCall, "pipeline" | "stage" | "input">;

/**
 * Returns the prompt of a generate stage. Text that calls have in common comes
 * first, so that engines can cache it: the instructions, then the caller's
 * input, and last the output of the previous stage.
 */
export function promptOf({ pipeline, stage, input }: PromptSource): string {
  const { request, previous } = input as StageInput;
  const values = request === undefined ? [input] : [request, previous ?? null];
  return `Pipeline ${pipeline}, stage ${stage}.\n` +
    values.map(canonicalJson).join("\n");
}

/** Input of a stage; see `stageInput` in `pipeline/run.ts`. */
interface StageInput {
  readonly request?: unknown;
  readonly previous?: unknown;
}
