/**
 * Gate before a target: which calls run, which wait and which are refused.
 *
 * The state is an immutable value; {@linkcode applyGate} applies an event and
 * gives the next state and the effects to carry out.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import {
  type CallId,
  type CustomerId,
  notRun,
  Priority,
  type Refusal,
  RefusalReason,
} from "../model/mod.ts";

/** Bounds of a gate. */
export interface GateConfig {
  /** Concurrent calls that a cold target bears. */
  readonly coldLimit: number;
  /** Most concurrent calls ever allowed. */
  readonly maxLimit: number;
  /** Most calls that wait. */
  readonly maxQueued: number;
}

/** A call at the gate. Times are monotonic, in milliseconds. */
export interface GateCall {
  readonly callId: CallId;
  readonly customer: CustomerId;
  readonly weight: number;
  readonly priority: Priority;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** State of a gate. */
export interface GateState {
  readonly cfg: GateConfig;
  readonly limit: number;
  readonly cold: boolean;
  readonly running: ReadonlyMap<CallId, GateCall>;
  readonly queue: readonly GateCall[];
}

/** How a started call ended. */
export type CallOutcome =
  | { readonly kind: "ok"; readonly serviceMs: number }
  | {
    readonly kind: "failed";
    readonly serviceMs: number;
    /** True when the target says that it is in cold start. */
    readonly cold: boolean;
  }
  /** The call was permitted and not sent. */
  | { readonly kind: "unused" };

/** Something that happened at the gate. */
export type GateEvent =
  | { readonly kind: "arrive"; readonly call: GateCall }
  | {
    readonly kind: "finish";
    readonly callId: CallId;
    readonly outcome: CallOutcome;
  }
  | { readonly kind: "cancel"; readonly callId: CallId }
  | { readonly kind: "turned-cold" }
  | { readonly kind: "tick" };

/** Something to do. */
export type GateEffect =
  | { readonly kind: "start"; readonly callId: CallId }
  | {
    readonly kind: "refuse";
    readonly callId: CallId;
    readonly refusal: Refusal;
  };

/** Next state and effects. */
export interface GateStep {
  readonly state: GateState;
  readonly effects: readonly GateEffect[];
}

const OVERLOAD_RETRY_MS = 1_000;

/** State of a gate whose target counts as cold. */
export function createGate(cfg: GateConfig): GateState {
  return {
    cfg,
    limit: cfg.coldLimit,
    cold: true,
    running: new Map(),
    queue: [],
  };
}

/** Applies an event at time `now`, in monotonic milliseconds. */
export function applyGate(
  state: GateState,
  event: GateEvent,
  now: number,
): GateStep {
  const step = settle(applyEvent(state, event), now);
  invariant(
    step.state.running.size <= Math.max(state.running.size, step.state.limit),
    "gate-limit",
    () => `running=${step.state.running.size} limit=${step.state.limit}`,
  );
  return step;
}

function applyEvent(state: GateState, event: GateEvent): GateStep {
  switch (event.kind) {
    case "arrive":
      return arrive(state, event.call);
    case "finish":
      return { state: finish(state, event), effects: [] };
    case "cancel":
      return {
        state: {
          ...state,
          queue: state.queue.filter((call) => call.callId !== event.callId),
        },
        effects: [],
      };
    case "turned-cold":
      return {
        state: { ...state, cold: true, limit: state.cfg.coldLimit },
        effects: [],
      };
    case "tick":
      return { state, effects: [] };
  }
}

function arrive(state: GateState, call: GateCall): GateStep {
  if (state.queue.length < state.cfg.maxQueued) {
    return { state: { ...state, queue: [...state.queue, call] }, effects: [] };
  }
  const refusal = notRun(
    RefusalReason.OverLimit,
    "The target's queue is full",
    OVERLOAD_RETRY_MS,
  );
  return {
    state,
    effects: [{ kind: "refuse", callId: call.callId, refusal }],
  };
}

function finish(
  state: GateState,
  event: { callId: CallId; outcome: CallOutcome },
): GateState {
  const running = new Map(state.running);
  running.delete(event.callId);
  const limit = nextLimit(state, event.outcome);
  return { ...state, running, limit, cold: limit <= state.cfg.coldLimit };
}

function nextLimit(state: GateState, outcome: CallOutcome): number {
  switch (outcome.kind) {
    case "ok":
      return Math.min(state.cfg.maxLimit, state.limit + 1);
    case "failed":
      return state.cfg.coldLimit;
    case "unused":
      return state.limit;
  }
}

/** Refuses the calls that are past their deadline and starts what fits. */
function settle({ state, effects }: GateStep, now: number): GateStep {
  const late = state.queue.filter((call) => call.deadlineAt <= now);
  const waiting = state.queue.filter((call) => call.deadlineAt > now)
    .sort((a, b) => a.deadlineAt - b.deadlineAt);
  const room = Math.max(0, state.limit - state.running.size);
  const started = waiting.slice(0, room);
  const running = new Map([
    ...state.running,
    ...started.map((call) => [call.callId, call] as const),
  ]);
  return {
    state: { ...state, running, queue: waiting.slice(room) },
    effects: [
      ...effects,
      ...late.map((call) => refuseLate(call)),
      ...started.map(({ callId }) => ({ kind: "start", callId }) as const),
    ],
  };
}

function refuseLate(call: GateCall): GateEffect {
  return {
    kind: "refuse",
    callId: call.callId,
    refusal: notRun(
      RefusalReason.DeadlineExceeded,
      "The deadline passed in the queue",
      OVERLOAD_RETRY_MS,
    ),
  };
}
