/**
 * Prompts of generate stages.
 *
 * @module
 */

import type { StageCall } from "./call.ts";
import { canonicalJson } from "./digest.ts";

/** What a prompt is made from. */
export type PromptParts = Pick<StageCall, "pipeline" | "stage" | "input">;

/** Prompt of a generate stage: the shared instructions first, so that engines can cache them. */
export function promptOf({ pipeline, stage, input }: PromptParts): string {
  return `Pipeline ${pipeline}, stage ${stage}.\n${canonicalJson(input)}`;
}
