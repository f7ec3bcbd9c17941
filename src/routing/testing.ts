/**
 * Test fixtures for target selection.
 *
 * @module
 */

import { type Target, TargetKind } from "../model/mod.ts";
import type { Candidate } from "./choose.ts";

/** Returns a target in a failure domain. */
export function target(id: string, domain = "d1"): Target {
  return {
    id,
    domain,
    pool: "p",
    kind: TargetKind.Engine,
    host: `host-${id}`,
    agentUrl: "",
  };
}

/** Returns a candidate with a fresh load report; `overrides` sets fields. */
export function candidate(
  id: string,
  overrides: Partial<Candidate> & {
    domain?: string;
    running?: number;
    limit?: number;
  } = {},
): Candidate {
  const { domain, running = 0, limit = 10, ...rest } = overrides;
  return {
    target: target(id, domain),
    load: { running, queued: 0, limit, cold: false, leaving: false },
    loadAgeMs: 0,
    outstanding: 0,
    startedSinceReport: 0,
    weight: 1,
    holdsPrefix: false,
    ...rest,
  };
}
