/**
 * Segments of a prompt that other prompts may share.
 *
 * @module
 */

import { sha256 } from "../model/mod.ts";

/** Segment of a prompt. */
export interface PromptSegment {
  readonly id: string;
  /** Number of segments before it in the prompt. */
  readonly depth: number;
}

/** Longest identifier that is kept as it is, in characters. */
const MAX_ID_CHARS = 32;
/** Segments that are considered at each end of a prompt. */
const MAX_SEGMENTS_PER_END = 32;

/**
 * Returns the segments of a prompt that others may share: all but the last,
 * which belongs to the request or its session. Long identifiers are hashed, and
 * the middle of a very long prompt is left out.
 */
export function sharedSegments(
  prompt: readonly string[],
): readonly PromptSegment[] {
  const shared = prompt.slice(0, -1)
    .map((id, depth) => ({ id: boundedId(id), depth }));
  return shared.length <= 2 * MAX_SEGMENTS_PER_END ? shared : [
    ...shared.slice(0, MAX_SEGMENTS_PER_END),
    ...shared.slice(-MAX_SEGMENTS_PER_END),
  ];
}

function boundedId(id: string): string {
  return id.length <= MAX_ID_CHARS ? id : sha256(id).slice(0, MAX_ID_CHARS);
}
