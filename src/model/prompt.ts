/**
 * Prompts of generate stages.
 *
 * @module
 */

import type { StageCall } from "./call.ts";
import { canonicalJson } from "./digest.ts";

/** What a prompt is made from. */
export type PromptParts = Pick<StageCall, "pipeline" | "stage" | "input">;

/**
 * Prompt of a generate stage. What calls share comes first, so that engines
 * can cache it: the instructions, then the caller's input, and last what the
 * stage before made of it.
 */
export function promptOf({ pipeline, stage, input }: PromptParts): string {
  const { request, previous } = input as StageInput;
  const parts = request === undefined ? [input] : [request, previous ?? null];
  return `Pipeline ${pipeline}, stage ${stage}.\n` +
    parts.map(canonicalJson).join("\n");
}

/** Input of a stage; see `stageInput` in `pipeline/run.ts`. */
interface StageInput {
  readonly request?: unknown;
  readonly previous?: unknown;
}
