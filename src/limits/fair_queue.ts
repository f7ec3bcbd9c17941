/**
 * Queue of waiting calls in weighted fair shares of the organisations.
 *
 * Start-time fair queueing: each flow, an organisation's calls of one priority, has
 * a virtual finish time that grows by cost over weight with every call that
 * starts; the flow with the lowest start time is next, with its call of the
 * earliest deadline. An organisation that was idle keeps no credit, so an idle share
 * is lent to the others and given back with the next start. Interactive calls go first; a batch call that has
 * waited for {@linkcode AGEING_MS} competes with them at a lower weight.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { type CallId, type OrganisationId, Priority } from "../model/mod.ts";

/** A call at the gate. Times are monotonic, in milliseconds. */
export interface GateCall {
  readonly callId: CallId;
  readonly organisation: OrganisationId;
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
  /** Virtual finish times of flows that lie ahead of the virtual time. */
  readonly finish: ReadonlyMap<string, number>;
}

/** Wait after which a batch call counts as interactive, in milliseconds. */
export const AGEING_MS = 1_000;
/** Weight of an organisation's aged batch calls against its interactive ones. */
const BATCH_WEIGHT = 0.25;
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

/** Takes a call out of the queue and charges its cost to its organisation. */
export function startCall(
  queue: FairQueue,
  call: GateCall,
  opts: { costMs: number; now: number },
): FairQueue {
  const start = startTime(queue, call);
  const cost = Math.max(UNKNOWN_COST_MS, opts.costMs) / flowWeight(call);
  const virtual = Math.max(queue.virtual, start);
  const calls = queue.calls.filter((other) => other !== call);
  const finish = new Map(
    [...queue.finish].filter(([, finishAt]) => finishAt > virtual),
  );
  finish.set(flowOf(call), start + cost);
  checkNoStarvation(queue, call, opts.now);
  return { calls, virtual, finish };
}

/**
 * Share of the target that the flow of a call gets while the waiting flows and
 * it are served, between 0 and 1.
 */
export function shareOf(queue: FairQueue, call: GateCall): number {
  const weights = new Map(
    queue.calls.map((one) => [flowOf(one), flowWeight(one)]),
  ).set(flowOf(call), flowWeight(call));
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0);
  const shares = [...weights.values()].map((weight) => weight / total);
  const sum = shares.reduce((all, share) => all + share, 0);
  invariant(Math.abs(sum - 1) < 1e-6, "shares-sum-to-one", () => `sum=${sum}`);
  return flowWeight(call) / total;
}

/** True when a call competes with the interactive ones. */
export function isUrgent(call: GateCall, now: number): boolean {
  return call.priority === Priority.Interactive ||
    now - call.arrivedAt >= AGEING_MS;
}

/** Name of the flow of a call: its organisation's calls of its priority. */
export function flowOf({ organisation, priority }: GateCall): string {
  return `${organisation}/${priority}`;
}

function flowWeight({ weight, priority }: GateCall): number {
  return priority === Priority.Batch ? weight * BATCH_WEIGHT : weight;
}

function startTime(queue: FairQueue, call: GateCall): number {
  return Math.max(queue.virtual, queue.finish.get(flowOf(call)) ?? 0);
}

function isBefore(queue: FairQueue, a: GateCall, b: GateCall): boolean {
  const byShare = startTime(queue, a) - startTime(queue, b);
  if (byShare !== 0) return byShare < 0;
  return a.deadlineAt < b.deadlineAt;
}

/** No aged call is passed over by a call of a flow with a later start. */
function checkNoStarvation(
  queue: FairQueue,
  started: GateCall,
  now: number,
): void {
  const own = startTime(queue, started);
  const starved = queue.calls.find((call) =>
    now - call.arrivedAt >= AGEING_MS && startTime(queue, call) < own
  );
  invariant(
    starved === undefined,
    "no-starvation",
    () => `call=${starved?.callId} passed over by ${started.callId}`,
  );
}
