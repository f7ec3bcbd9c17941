/**
 * Gate in front of a target: decides which calls run, wait or are refused.
 *
 * The state is an immutable value; {@linkcode applyGate} applies an event and
 * returns the next state and the effects to carry out.
 *
 * A target may turn cold without notice. When the responses of a target show
 * progress early, the gate keeps at most as many calls without progress in
 * flight as a cold target can sustain. A target that lost its work and turned
 * cold is therefore not overloaded even before the gate detects it.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { notRun, RefusalReason } from "../model/mod.ts";
import { meanMs } from "../telemetry/mod.ts";
import {
  EMPTY_QUEUE,
  enqueue,
  type GateCall,
  nextCall,
  removeCalls,
  startCall,
} from "./fair_queue.ts";
import type {
  GateConfig,
  GateEffect,
  GateEvent,
  GateState,
  GateStep,
} from "./gate_state.ts";
import {
  applyEvidence,
  onFinish,
  onProgress,
  releaseHeldSlots,
} from "./gate_running.ts";
import { createLimit } from "./limit.ts";
import { callToShed, cannotMeetDeadline, retryAfterMs } from "./wait.ts";

/** Returns the initial state of a gate; its target is presumed cold. */
export function createGate(cfg: GateConfig, now: number): GateState {
  return {
    cfg,
    limit: createLimit(cfg, now),
    running: new Map(),
    queue: EMPTY_QUEUE,
    service: new Map(),
    firstProgress: new Map(),
  };
}

/** Applies an event at time `now`, in monotonic milliseconds. */
export function applyGate(
  state: GateState,
  event: GateEvent,
  now: number,
): GateStep {
  const step = startCalls(applyEvent(state, event, now), now);
  // All waiting calls are checked on ticks only, as that is the costliest step.
  if (event.kind === "tick") return refuseUnmeetable(step, now, () => true);
  if (event.kind !== "arrive") return step;
  return refuseUnmeetable(step, now, (call) => call === event.call);
}

function applyEvent(state: GateState, event: GateEvent, now: number): GateStep {
  switch (event.kind) {
    case "arrive":
      return onArrival(state, event.call, now);
    case "finish":
      return withoutEffects(onFinish(state, event, now));
    case "progress":
      return withoutEffects(onProgress(state, event, now));
    case "cancel": {
      const queue = removeCalls(
        state.queue,
        (call) => call.callId === event.callId,
      );
      return withoutEffects({ ...state, queue });
    }
    case "report":
      return withoutEffects(applyEvidence(state, event, now));
    case "tick":
      return withoutEffects(
        applyEvidence(releaseHeldSlots(state, now), event, now),
      );
  }
}

function withoutEffects(state: GateState): GateStep {
  return { state, effects: [] };
}

function onArrival(state: GateState, call: GateCall, now: number): GateStep {
  const queued = { ...state, queue: enqueue(state.queue, call) };
  if (queued.queue.calls.length <= state.cfg.maxQueued) {
    return withoutEffects(queued);
  }
  const shedCall = callToShed(queued.queue);
  return {
    state: {
      ...queued,
      queue: removeCalls(queued.queue, (one) => one === shedCall),
    },
    effects: [refusalEffect(state, shedCall, now)],
  };
}

/** Refuses the waiting calls that can no longer meet their deadline. */
function refuseUnmeetable(
  { state, effects }: GateStep,
  now: number,
  isChecked: (call: GateCall) => boolean,
): GateStep {
  const unmeetable = state.queue.calls.filter((call) =>
    isChecked(call) && cannotMeetDeadline(state, call, now)
  );
  if (unmeetable.length === 0) return { state, effects };
  const removed = new Set(unmeetable);
  const queue = removeCalls(state.queue, (call) => removed.has(call));
  return {
    state: { ...state, queue },
    effects: [
      ...effects,
      ...unmeetable.map((call) => refusalEffect(state, call, now)),
    ],
  };
}

function startCalls(step: GateStep, now: number): GateStep {
  let { state } = step;
  const effects = [...step.effects];
  while (freeSlots(state) > 0) {
    const call = nextCall(state.queue, now);
    if (!call) break;
    if (cannotMeetDeadline(state, call, now)) {
      const queue = removeCalls(state.queue, (one) => one === call);
      effects.push(refusalEffect(state, call, now));
      state = { ...state, queue };
      continue;
    }
    const costMs = meanMs(state.service.get(call.workClass), now);
    state = {
      ...state,
      queue: startCall(state.queue, call, { costMs, now }),
      running: new Map(state.running)
        .set(call.callId, { ...call, startedAt: now, progressSeen: false }),
    };
    effects.push({ kind: "start", callId: call.callId });
    checkBounds(state);
  }
  return { state, effects };
}

/** Returns the number of calls that may start now. */
function freeSlots(state: GateState): number {
  const belowLimit = state.limit.limit - state.running.size;
  if (!state.cfg.streamsProgress) return belowLimit;
  return Math.min(
    belowLimit,
    state.cfg.coldLimit - countWithoutProgress(state),
  );
}

function countWithoutProgress({ running }: GateState): number {
  return [...running.values()].filter(({ progressSeen }) => !progressSeen)
    .length;
}

function checkBounds(state: GateState): void {
  const { running, limit, cfg } = state;
  invariant(
    running.size <= limit.limit,
    "gate-limit",
    () => `running=${running.size} limit=${limit.limit}`,
  );
  invariant(
    !cfg.streamsProgress || countWithoutProgress(state) <= cfg.coldLimit,
    "gate-unshown",
    () => `unshown=${countWithoutProgress(state)} cold=${cfg.coldLimit}`,
  );
}

function refusalEffect(
  state: GateState,
  call: GateCall,
  now: number,
): GateEffect {
  const refusal = notRun(
    state.limit.cold ? RefusalReason.ColdTarget : RefusalReason.OverLimit,
    "The target cannot run the call before its deadline",
    retryAfterMs(state, now),
  );
  return { kind: "refuse", callId: call.callId, refusal };
}
