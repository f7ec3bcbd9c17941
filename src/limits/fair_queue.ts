/**
 * Weighted fair queue of the calls that wait for a target.
 *
 * Start-time fair queueing: a flow is an organisation's calls of one priority.
 * Its virtual finish time grows by cost divided by weight with every call that
 * starts. The flow with the lowest virtual start time is served next, with its
 * call of the earliest deadline. An idle organisation accumulates no credit:
 * the others use its share until its next call starts. Interactive calls
 * precede batch calls; a batch call that has waited for {@linkcode AGEING_MS}
 * competes with the interactive ones at a lower weight.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { type CallId, type OrganisationId, Priority } from "../model/mod.ts";

/** A call as the gate sees it. Times are monotonic, in milliseconds. */
export interface GateCall {
  readonly callId: CallId;
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly priority: Priority;
  /** Groups calls of similar cost: one stage of one pipeline. */
  readonly workClass: string;
  readonly arrivedAt: number;
  /**
   * Time by which the call has to end for its request to meet the deadline.
   */
  readonly deadlineAt: number;
}

/** State of the queue. */
export interface FairQueue {
  readonly calls: readonly GateCall[];
  /** Highest virtual start time of the calls started so far. */
  readonly virtualTime: number;
  /** Virtual finish times of the flows that are ahead of the virtual time. */
  readonly finishTimes: ReadonlyMap<string, number>;
}

/**
 * Wait after which a batch call competes with interactive ones, in
 * milliseconds.
 */
export const AGEING_MS = 1_000;
/** Factor on an organisation's weight for its batch calls. */
const BATCH_WEIGHT_FACTOR = 0.25;
/** Least cost that a call is charged, also when its cost is unknown, in ms. */
const MIN_COST_MS = 1;

/** Empty queue. */
export const EMPTY_QUEUE: FairQueue = {
  calls: [],
  virtualTime: 0,
  finishTimes: new Map(),
};

/** Returns the queue with `call` added. */
export function enqueue(queue: FairQueue, call: GateCall): FairQueue {
  return { ...queue, calls: [...queue.calls, call] };
}

/** Returns the queue without the calls for which `isRemoved` holds. */
export function removeCalls(
  queue: FairQueue,
  isRemoved: (call: GateCall) => boolean,
): FairQueue {
  return { ...queue, calls: queue.calls.filter((call) => !isRemoved(call)) };
}

/** Returns the call to start next at `now`, if any is waiting. */
export function nextCall(queue: FairQueue, now: number): GateCall | undefined {
  const urgent = queue.calls.filter((call) => isUrgent(call, now));
  const eligible = urgent.length > 0 ? urgent : queue.calls;
  return eligible.reduce<GateCall | undefined>(
    (best, call) => best && !isBefore(queue, call, best) ? best : call,
    undefined,
  );
}

/** Removes a call from the queue and charges its cost to its flow. */
export function startCall(
  queue: FairQueue,
  call: GateCall,
  opts: { costMs: number; now: number },
): FairQueue {
  const start = startTime(queue, call);
  const cost = Math.max(MIN_COST_MS, opts.costMs) / flowWeight(call);
  const virtualTime = Math.max(queue.virtualTime, start);
  const calls = queue.calls.filter((other) => other !== call);
  const finishTimes = new Map(
    [...queue.finishTimes].filter(([, finishTime]) => finishTime > virtualTime),
  );
  finishTimes.set(flowKey(call), start + cost);
  checkNoStarvation(queue, call, opts.now);
  return { calls, virtualTime, finishTimes };
}

/**
 * Returns the share of the target, between 0 and 1, that the flow of a call
 * gets in competition with all waiting flows.
 */
export function flowShare(queue: FairQueue, call: GateCall): number {
  const weights = new Map(
    queue.calls.map((one) => [flowKey(one), flowWeight(one)]),
  ).set(flowKey(call), flowWeight(call));
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  const shares = [...weights.values()].map((weight) => weight / total);
  const sum = shares.reduce((all, share) => all + share, 0);
  invariant(Math.abs(sum - 1) < 1e-6, "shares-sum-to-one", () => `sum=${sum}`);
  return flowWeight(call) / total;
}

/** True when a call is interactive, or has waited for the ageing time. */
export function isUrgent(call: GateCall, now: number): boolean {
  return call.priority === Priority.Interactive ||
    now - call.arrivedAt >= AGEING_MS;
}

/** Returns the key of a call's flow: its organisation and priority. */
export function flowKey({ organisation, priority }: GateCall): string {
  return `${organisation}/${priority}`;
}

function flowWeight({ weight, priority }: GateCall): number {
  return priority === Priority.Batch ? weight * BATCH_WEIGHT_FACTOR : weight;
}

function startTime(queue: FairQueue, call: GateCall): number {
  return Math.max(queue.virtualTime, queue.finishTimes.get(flowKey(call)) ?? 0);
}

function isBefore(queue: FairQueue, a: GateCall, b: GateCall): boolean {
  const startDifference = startTime(queue, a) - startTime(queue, b);
  if (startDifference !== 0) return startDifference < 0;
  return a.deadlineAt < b.deadlineAt;
}

/** Checks that no aged call with an earlier virtual start time still waits. */
function checkNoStarvation(
  queue: FairQueue,
  started: GateCall,
  now: number,
): void {
  const startedTime = startTime(queue, started);
  const starved = queue.calls.find((call) =>
    now - call.arrivedAt >= AGEING_MS && startTime(queue, call) < startedTime
  );
  invariant(
    starved === undefined,
    "no-starvation",
    () => `call=${starved?.callId} overtaken by ${started.callId}`,
  );
}
