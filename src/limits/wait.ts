/**
 * How long calls wait at a gate, and which are refused for it.
 *
 * @module
 */

import { Priority } from "../model/mod.ts";
import { type Estimate, likelyMs, meanMs } from "../telemetry/mod.ts";
import {
  AGEING_MS,
  type FairQueue,
  flowOf,
  type GateCall,
  isUrgent,
  shareOf,
} from "./fair_queue.ts";

/** What the wait depends on; a part of the gate's state. */
export interface WaitInput {
  readonly limit: { readonly limit: number };
  readonly running: ReadonlyMap<string, GateCall>;
  readonly queue: FairQueue;
  readonly service: ReadonlyMap<string, Estimate>;
}

const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/** True when a waiting call cannot end before its deadline. */
export function isHopeless(
  state: WaitInput,
  call: GateCall,
  now: number,
): boolean {
  const serviceMs = likelyMs(state.service.get(call.workClass), now);
  return call.deadlineAt <= now ||
    now + expectedWaitMs(state, call, now) + serviceMs > call.deadlineAt;
}

/** Expected wait of a call in the queue, in milliseconds. */
export function expectedWaitMs(
  state: WaitInput,
  call: GateCall,
  now: number,
): number {
  if (state.running.size < state.limit.limit) return 0;
  const { calls } = state.queue;
  const costOf = (one: GateCall) =>
    meanMs(state.service.get(one.workClass), now);
  const sum = (some: readonly GateCall[]) =>
    some.reduce((total, one) => total + costOf(one), 0);
  const urgent = isUrgent(call, now);
  const rivals = calls.filter((one) => isUrgent(one, now) === urgent);
  const own = rivals.filter((one) =>
    flowOf(one) === flowOf(call) && one.deadlineAt < call.deadlineAt
  );
  const share = shareOf({ ...state.queue, calls: rivals }, call);
  const others = sum(rivals.filter((one) => flowOf(one) !== flowOf(call)));
  // A flow never waits for more than all that is queued before it.
  const ahead = Math.min(sum(own) / share, sum(own) + others);
  const before = urgent ? 0 : sum(calls.filter((one) => isUrgent(one, now)));
  const beforeMs = before / state.limit.limit;
  return ahead / state.limit.limit + Math.min(beforeMs, AGEING_MS);
}

/**
 * The call to give up when the queue is too long: of the organisation that waits
 * with most calls for its weight a batch call, or else any, with the latest
 * deadline.
 */
export function overfullOrganisationCall(queue: FairQueue): GateCall {
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

/** Time after which the present queue is worked off, in milliseconds. */
export function retryAfterMs(state: WaitInput, now: number): number {
  const queued = state.queue.calls.reduce(
    (total, { workClass }) => total + meanMs(state.service.get(workClass), now),
    0,
  );
  const drainMs = queued / Math.max(1, state.limit.limit);
  return Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, drainMs)));
}
