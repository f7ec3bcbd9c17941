/**
 * Running calls of a gate: derives evidence about the target from their
 * outcomes and their progress.
 *
 * @module
 */

import type { CallId } from "../model/mod.ts";
import { addSample } from "../telemetry/mod.ts";
import type { CallOutcome, GateState, RunningCall } from "./gate_state.ts";
import { applyLimit, type LimitEvent } from "./limit.ts";

/** Time for a target to detect that a caller has gone, in milliseconds. */
const CANCEL_DETECTION_MS = 100;
/** Margin on the usual latency before a call counts as slow, in ms. */
const LATENCY_SLACK_MS = 20;
/**
 * Multiple of the usual time to first progress above which a target counts as
 * slow.
 */
const SLOW_FIRST_PROGRESS_RATIO = 4;

/** Applies evidence about the target to the limit. */
export function applyEvidence(
  state: GateState,
  event: LimitEvent,
  now: number,
): GateState {
  return { ...state, limit: applyLimit(state.limit, event, now) };
}

/** Applies the outcome of a running call. */
export function onFinish(
  state: GateState,
  { callId, outcome }: { callId: CallId; outcome: CallOutcome },
  now: number,
): GateState {
  const call = state.running.get(callId);
  if (!call) return state;
  const { startedAt } = call;
  switch (outcome.kind) {
    case "abandoned":
      return holdSlot(state, call, now);
    case "unused":
      return removeRunning(state, callId, now);
    case "failed": {
      const { cold } = outcome;
      // The target may still work on a call whose connection was lost.
      const held = holdSlot(state, call, now);
      return applyEvidence(held, { kind: "failure", startedAt, cold }, now);
    }
    case "ok":
      return removeRunning(
        onSuccess(state, call, { serviceMs: outcome.serviceMs, now }),
        callId,
        now,
      );
  }
}

function removeRunning(
  state: GateState,
  callId: CallId,
  now: number,
): GateState {
  const running = new Map(state.running);
  running.delete(callId);
  return detectIdle({ ...state, running }, now);
}

/** Applies idle evidence when no call is in flight any more. */
function detectIdle(state: GateState, now: number): GateState {
  return state.running.size > 0
    ? state
    : applyEvidence(state, { kind: "idle" }, now);
}

/** Keeps the slot until the target has had time to cancel the call. */
function holdSlot(state: GateState, call: RunningCall, now: number): GateState {
  const held = { ...call, heldUntil: now + CANCEL_DETECTION_MS };
  return { ...state, running: new Map(state.running).set(call.callId, held) };
}

function onSuccess(
  state: GateState,
  call: RunningCall,
  opts: { serviceMs: number; now: number },
): GateState {
  const { serviceMs, now } = opts;
  const limitReached = state.running.size >= state.limit.limit;
  const known = state.service.get(call.workClass);
  const slowness = known ? serviceMs / (known.baseMs + LATENCY_SLACK_MS) : 1;
  const service = new Map(state.service)
    .set(call.workClass, addSample(known, serviceMs, now));
  return applyEvidence({ ...state, service }, {
    kind: "success",
    startedAt: call.startedAt,
    slowness,
    limitReached,
  }, now);
}

/** Applies the first sign of progress of a call. */
export function onProgress(
  state: GateState,
  { callId, cold }: { callId: CallId; cold: boolean },
  now: number,
): GateState {
  const call = state.running.get(callId);
  if (!call || call.progressSeen) return state;
  const { startedAt, workClass } = call;
  if (cold) {
    return applyEvidence(state, { kind: "progress", startedAt, cold }, now);
  }
  // Progress of a call sent before the last cold start proves no warmth.
  if (startedAt < state.limit.lastColdAt) return state;
  const known = state.firstProgress.get(workClass);
  const firstProgressMs = now - startedAt;
  const firstProgress = new Map(state.firstProgress)
    .set(workClass, addSample(known, firstProgressMs, now));
  const isSlow = known !== undefined &&
    firstProgressMs >
      known.baseMs * SLOW_FIRST_PROGRESS_RATIO + LATENCY_SLACK_MS;
  if (isSlow) {
    const slowness = firstProgressMs / known.baseMs;
    return applyEvidence(
      { ...state, firstProgress },
      { kind: "slow", startedAt, slowness },
      now,
    );
  }
  const running = new Map(state.running).set(callId, {
    ...call,
    progressSeen: true,
  });
  return applyEvidence(
    { ...state, firstProgress, running },
    { kind: "progress", startedAt, cold },
    now,
  );
}

/** Frees the slots of ended calls whose hold time has passed. */
export function releaseHeldSlots(state: GateState, now: number): GateState {
  const running = new Map(
    [...state.running].filter(([, { heldUntil }]) =>
      heldUntil === undefined || heldUntil > now
    ),
  );
  if (running.size === state.running.size) return state;
  return detectIdle({ ...state, running }, now);
}
