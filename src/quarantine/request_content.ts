/**
 * What a target works on while it runs a request, and what of it may crash the
 * target: segments of the prompt, or the request as a whole.
 *
 * @module
 */

import { type PromptSegment, sharedSegments } from "./prompt_segments.ts";

/** Content of a request. */
export interface RequestContent {
  /** Names of the segments of the prompt, the shared ones first. */
  readonly promptParts: readonly string[];
  /** The same for all repetitions of a request; undefined if not known. */
  readonly fingerprint?: string;
}

const REQUEST_PREFIX = "request-";
/**
 * Depth of a request as a whole, below that of any segment: where both explain
 * the same crashes, other requests with the segment would crash targets too.
 */
const WHOLE_DEPTH = -1;

/** Returns what may be the cause of a crash. */
export function suspectSegments(
  { promptParts, fingerprint }: RequestContent,
): readonly PromptSegment[] {
  const segments = sharedSegments(promptParts);
  if (fingerprint === undefined) return segments;
  const id = REQUEST_PREFIX + fingerprint;
  return [...segments, { id, depth: WHOLE_DEPTH }];
}

/** True for the identifier of a request as a whole. */
export function isWholeRequest(segment: string): boolean {
  return segment.startsWith(REQUEST_PREFIX);
}
