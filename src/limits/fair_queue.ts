/**
 * Queue of waiting calls in weighted fair shares of the customers.
 *
 * Start-time fair queueing: each customer has a virtual finish time that grows
 * by cost over weight with every call that starts; the customer with the
 * lowest start time is next, with its call of the earliest deadline. A
 * customer that was idle keeps no credit, so an idle share is lent to the
 * others and given back with the next start. Interactive calls go first; a
 * batch call that has waited for {@linkcode AGEING_MS} counts as interactive.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { type CallId, type CustomerId, Priority } from "../model/mod.ts";

/** A call at the gate. Times are monotonic, in milliseconds. */
export interface GateCall {
  readonly callId: CallId;
  readonly customer: CustomerId;
  readonly weight: number;
  readonly priority: Priority;
  /** Calls of one class have similar costs: a stage of a pipeline. */
  readonly workClass: string;
  readonly arrivedAt: number;
  /** Time by which the call has to end for its request to be on time. */
  readonly deadlineAt: number;
}

/** State of the queue. */
export interface FairQueue {
  readonly calls: readonly GateCall[];
  /** Virtual time: start time of the call that started last. */
  readonly virtual: number;
  /** Virtual finish times that lie ahead of the virtual time. */
  readonly finish: ReadonlyMap<CustomerId, number>;
}

/** Wait after which a batch call counts as interactive, in milliseconds. */
export const AGEING_MS = 1_000;
/** Cost of a call of unknown cost, in milliseconds. */
const UNKNOWN_COST_MS = 1;

/** Queue without calls. */
export const EMPTY_QUEUE: FairQueue = {
  calls: [],
  virtual: 0,
  finish: new Map(),
};

/** Queue with one more call. */
export function enqueue(queue: FairQueue, call: GateCall): FairQueue {
  return { ...queue, calls: [...queue.calls, call] };
}

/** Queue without the calls that `drop` names. */
export function dequeue(
  queue: FairQueue,
  drop: (call: GateCall) => boolean,
): FairQueue {
  return { ...queue, calls: queue.calls.filter((call) => !drop(call)) };
}

/** Call that is next at `now`, or undefined when none waits. */
export function nextCall(queue: FairQueue, now: number): GateCall | undefined {
  const urgent = queue.calls.filter((call) => isUrgent(call, now));
  const eligible = urgent.length > 0 ? urgent : queue.calls;
  return eligible.reduce<GateCall | undefined>(
    (best, call) => best && !isBefore(queue, call, best) ? best : call,
    undefined,
  );
}

/** Takes a call out of the queue and charges its cost to its customer. */
export function startCall(
  queue: FairQueue,
  call: GateCall,
  opts: { costMs: number; now: number },
): FairQueue {
  const start = startTime(queue, call.customer);
  const cost = Math.max(UNKNOWN_COST_MS, opts.costMs) / call.weight;
  const virtual = Math.max(queue.virtual, start);
  const calls = queue.calls.filter((other) => other !== call);
  const finish = new Map(
    [...queue.finish].filter(([, finishAt]) => finishAt > virtual),
  );
  finish.set(call.customer, start + cost);
  checkNoStarvation(queue, call, opts.now);
  return { calls, virtual, finish };
}

/**
 * Share of the target that a customer gets while the waiting customers and it
 * are served, between 0 and 1.
 */
export function shareOf(
  queue: FairQueue,
  call: Pick<GateCall, "customer" | "weight">,
): number {
  const weights = new Map(
    queue.calls.map(({ customer, weight }) => [customer, weight]),
  ).set(call.customer, call.weight);
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  const shares = [...weights.values()].map((weight) => weight / total);
  const sum = shares.reduce((all, share) => all + share, 0);
  invariant(Math.abs(sum - 1) < 1e-6, "shares-sum-to-one", () => `sum=${sum}`);
  return call.weight / total;
}

/** True when a call competes with the interactive ones. */
export function isUrgent(call: GateCall, now: number): boolean {
  return call.priority === Priority.Interactive ||
    now - call.arrivedAt >= AGEING_MS;
}

function startTime(queue: FairQueue, customer: CustomerId): number {
  return Math.max(queue.virtual, queue.finish.get(customer) ?? 0);
}

function isBefore(queue: FairQueue, a: GateCall, b: GateCall): boolean {
  const byShare = startTime(queue, a.customer) - startTime(queue, b.customer);
  if (byShare !== 0) return byShare < 0;
  return a.deadlineAt < b.deadlineAt;
}

/** No aged call is passed over by a call of a customer with a later start. */
function checkNoStarvation(
  queue: FairQueue,
  started: GateCall,
  now: number,
): void {
  const own = startTime(queue, started.customer);
  const starved = queue.calls.find((call) =>
    now - call.arrivedAt >= AGEING_MS && startTime(queue, call.customer) < own
  );
  invariant(
    starved === undefined,
    "no-starvation",
    () => `call=${starved?.callId} passed over by ${started.callId}`,
  );
}
