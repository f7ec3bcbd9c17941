/**
 * Content of generate calls, by which crashes of engines are attributed.
 *
 * @module
 */

import { digest, StageKind } from "../model/mod.ts";
import type { StageRequest } from "./stage_dispatch.ts";

/** Maximum number of members of a caller's input that are told apart. */
const MAX_MEMBERS = 16;
/** Characters of the digest by which content is named. */
const NAME_CHARS = 16;

/**
 * Names the segments of the prompt of a call: the pipeline's stage, the members
 * of the caller's input, and last what belongs to the request alone. Other
 * calls than those to engines have none.
 */
export function contentOf(req: StageRequest): readonly string[] {
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
