/**
 * Expected waits at a gate and the choice of calls to refuse because of them.
 *
 * @module
 */

import { Priority } from "../model/mod.ts";
import {
  type Estimate,
  meanMs,
  meanPlusDeviationMs,
} from "../telemetry/mod.ts";
import {
  AGEING_MS,
  type FairQueue,
  flowKey,
  flowShare,
  type GateCall,
  isUrgent,
} from "./fair_queue.ts";

/** The part of the gate's state that determines waits. */
export interface WaitInput {
  readonly limit: { readonly limit: number };
  readonly running: ReadonlyMap<string, GateCall>;
  readonly queue: FairQueue;
  readonly service: ReadonlyMap<string, Estimate>;
}

const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 5_000;

/** True when a waiting call is not expected to meet its deadline. */
export function cannotMeetDeadline(
  state: WaitInput,
  call: GateCall,
  now: number,
): boolean {
  const serviceMs = meanPlusDeviationMs(state.service.get(call.workClass), now);
  return call.deadlineAt <= now ||
    now + expectedWaitMs(state, call, now) + serviceMs > call.deadlineAt;
}

/** Returns the expected wait of a call in the queue, in milliseconds. */
export function expectedWaitMs(
  state: WaitInput,
  call: GateCall,
  now: number,
): number {
  if (state.running.size < state.limit.limit) return 0;
  const { calls } = state.queue;
  const costOf = (one: GateCall) =>
    meanMs(state.service.get(one.workClass), now);
  const totalMs = (group: readonly GateCall[]) =>
    group.reduce((total, one) => total + costOf(one), 0);
  const urgent = isUrgent(call, now);
  const competing = calls.filter((one) => isUrgent(one, now) === urgent);
  const sameFlow = competing.filter((one) =>
    flowKey(one) === flowKey(call) && one.deadlineAt < call.deadlineAt
  );
  const share = flowShare({ ...state.queue, calls: competing }, call);
  const otherFlowsMs = totalMs(
    competing.filter((one) => flowKey(one) !== flowKey(call)),
  );
  // A call waits at most for its own flow's earlier calls and all other flows.
  const competingMs = Math.min(
    totalMs(sameFlow) / share,
    totalMs(sameFlow) + otherFlowsMs,
  );
  const urgentMs = urgent
    ? 0
    : totalMs(calls.filter((one) => isUrgent(one, now)));
  const urgentWaitMs = urgentMs / state.limit.limit;
  // A call that is not urgent waits for the urgent ones only until it has aged.
  return competingMs / state.limit.limit + Math.min(urgentWaitMs, AGEING_MS);
}

/**
 * Returns the call to shed when the queue is too long. It belongs to the
 * organisation with the most waiting calls relative to its weight; batch calls
 * come before interactive ones, then the latest deadline decides.
 */
export function callToShed(queue: FairQueue): GateCall {
  const backlog = new Map<string, number>();
  queue.calls.forEach(({ organisation, weight }) =>
    backlog.set(organisation, (backlog.get(organisation) ?? 0) + 1 / weight)
  );
  return queue.calls.reduce((worst, call) => {
    const more = (backlog.get(call.organisation) ?? 0) -
      (backlog.get(worst.organisation) ?? 0);
    if (more !== 0) return more > 0 ? call : worst;
    if (call.priority !== worst.priority) {
      return call.priority === Priority.Batch ? call : worst;
    }
    return call.deadlineAt > worst.deadlineAt ? call : worst;
  });
}

/**
 * Returns the time in which the present queue drains, in milliseconds, clamped
 * to the bounds of a retry delay.
 */
export function retryAfterMs(state: WaitInput, now: number): number {
  const queued = state.queue.calls.reduce(
    (total, { workClass }) => total + meanMs(state.service.get(workClass), now),
    0,
  );
  const drainMs = queued / Math.max(1, state.limit.limit);
  return Math.round(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs)),
  );
}
