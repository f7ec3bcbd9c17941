/**
 * Content of stage calls, by which crashes of targets are attributed.
 *
 * @module
 */

import { digest, StageKind } from "../model/mod.ts";
import type { RequestContent } from "../quarantine/mod.ts";
import type { StageRequest } from "./stage_dispatch.ts";

/** Maximum number of members of a caller's input that are told apart. */
const MAX_MEMBERS = 16;
/** Characters of the digest by which content is named. */
const NAME_CHARS = 16;
/** Characters of the digest by which a repeated call is recognised. */
const FINGERPRINT_CHARS = 32;

/** Returns what a target works on when it runs a call. */
export function contentOf(req: StageRequest): RequestContent {
  const { organisation, pipeline, stage, fingerprint } = req;
  // A stage that answers says nothing of what the others do with the request.
  const repeated = digest({ organisation, pipeline, stage, fingerprint });
  return {
    promptParts: promptPartsOf(req),
    fingerprint: repeated.slice(0, FINGERPRINT_CHARS),
  };
}

/**
 * Names the segments of the prompt of a call: the pipeline's stage, the members
 * of the caller's input, and last what belongs to the request alone. Other
 * calls than those to engines have none.
 */
function promptPartsOf(req: StageRequest): readonly string[] {
  if (req.kind !== StageKind.Generate) return [];
  const { request = null } = (req.input ?? {}) as { request?: unknown };
  return [
    `${req.pipeline}/${req.stage}`,
    ...membersOf(request).map((member) => digest(member).slice(0, NAME_CHARS)),
    req.requestId,
  ];
}

function membersOf(input: unknown): readonly unknown[] {
  const isObject = typeof input === "object" && input !== null;
  return isObject ? Object.values(input).slice(0, MAX_MEMBERS) : [input];
}
