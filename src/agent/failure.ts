/**
 * What a failed HTTP exchange with a target proves.
 *
 * @module
 */

import { RefusalReason } from "../model/mod.ts";
import type { TargetFailure } from "./target_client.ts";

/** Header by which a target states that it did not run a call. */
export const NOT_RUN_HEADER = "x-not-run";
/** Header by which a target states that it is in cold start. */
export const COLD_HEADER = "x-cold-start";

/** Codes of errors raised before the request was written. */
const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Failure of a call whose connection failed. */
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

/** Failure of a call that was answered with an error status. */
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

/** Failure of a call whose answer breaks the target's protocol. */
export function protocolFailure(detail: string): TargetFailure {
  return {
    mayHaveRun: true,
    reason: RefusalReason.TargetFailed,
    detail,
    cold: true,
  };
}
