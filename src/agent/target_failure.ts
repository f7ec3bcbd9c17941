/**
 * Classifies failed HTTP exchanges with a target: whether the call may have
 * run, and whether the target has to be presumed cold.
 *
 * @module
 */

import { RefusalReason } from "../model/mod.ts";
import type { TargetFailure } from "./target_client.ts";

/** Response header that states that the target did not run the call. */
export const NOT_RUN_HEADER = "x-not-run";
/** Response header that states that the target is in a cold start. */
export const COLD_HEADER = "x-cold-start";

/** Codes of errors that occur before the request is sent. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Returns the failure of a call whose connection failed. */
export function connectionFailure(err: unknown): TargetFailure {
  const code = String((err as { code?: unknown }).code ?? "");
  return {
    mayHaveRun: !NOT_SENT_CODES.has(code),
    reason: RefusalReason.TargetUnreachable,
    detail: `The connection to the target failed: ${String(err)}`,
    cold: !isTimeout(err),
  };
}

function isTimeout(err: unknown): boolean {
  return err instanceof Error && err.name === "TimeoutError";
}

/** Returns the failure of a call whose response has an error status. */
export function statusFailure(
  status: number,
  headers: Record<string, string | string[] | undefined>,
): TargetFailure {
  return {
    mayHaveRun: headers[NOT_RUN_HEADER] === undefined,
    reason: RefusalReason.TargetFailed,
    detail: `The target answered with status ${status}`,
    cold: headers[COLD_HEADER] !== undefined,
  };
}

/** Returns the failure of a call whose response violates the protocol. */
export function protocolFailure(detail: string): TargetFailure {
  return {
    mayHaveRun: true,
    reason: RefusalReason.TargetFailed,
    detail,
    cold: true,
  };
}
