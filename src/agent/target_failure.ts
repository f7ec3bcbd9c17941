/**
 * Classifies failed HTTP exchanges with a target: whether the call may have
 * run, and whether the target has to be presumed cold.
 *
 * @module
 */

import { isNotSent } from "../http/mod.ts";
import { RefusalReason, type StageCall } from "../model/mod.ts";
import type { TargetFailure } from "./target_client.ts";

const HTTP_CLIENT_ERROR = 400;
const HTTP_SERVER_ERROR = 500;
const HTTP_UNAVAILABLE = 503;

/** Response header that states that the target did not run the call. */
export const NOT_RUN_HEADER = "x-not-run";
/** Response header that states that the target is in a cold start. */
export const COLD_HEADER = "x-cold-start";

/** Header with the identifier of a call; targets may echo it. */
export const CALL_ID_HEADER = "x-call-id";
/** Detail of a failure by a response that belongs to another call. */
export const OTHER_CALL = "The answer belongs to another call";

/** Returns the failure of a call whose connection failed. */
export function connectionFailure(err: unknown): TargetFailure {
  return {
    mayHaveRun: !isNotSent(err),
    reason: RefusalReason.TargetUnreachable,
    detail: `The connection to the target failed: ${String(err)}`,
    cold: !isTimeout(err),
  };
}

function isTimeout(err: unknown): boolean {
  return err instanceof Error && err.name === "TimeoutError";
}

/** Headers of a response. */
type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** True when a response names another call. */
export function isOfOtherCall(
  headers: Headers,
  { callId }: Pick<StageCall, "callId">,
): boolean {
  const echoed = headers[CALL_ID_HEADER];
  return echoed !== undefined && echoed !== callId;
}

/** True for a status beside which a target may state that it ran nothing. */
function isRefusal(status: number): boolean {
  return status === HTTP_UNAVAILABLE ||
    (status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR);
}

/** Returns the failure of a call whose response has an error status. */
export function statusFailure(
  status: number,
  headers: Headers,
): TargetFailure {
  return {
    mayHaveRun: !(isRefusal(status) && headers[NOT_RUN_HEADER] !== undefined),
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
