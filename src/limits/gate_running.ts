/**
 * The calls at a target: what their ends and signs tell of it.
 *
 * @module
 */

import type { CallId } from "../model/mod.ts";
import { addSample } from "../telemetry/mod.ts";
import type { CallOutcome, GateState, RunningCall } from "./gate_state.ts";
import { applyLimit, type LimitEvent } from "./limit.ts";

/** Time for a target to notice that a caller is gone, in milliseconds. */
const NOTICE_MS = 100;
/** Added to the usual latency before a call counts as slow, in milliseconds. */
const LATENCY_SLACK_MS = 20;
/** Times the usual first progress after which a target counts as slow. */
const SLOW_FIRST = 4;

/** State after evidence about the target. */
export function withEvidence(
  state: GateState,
  event: LimitEvent,
  now: number,
): GateState {
  return { ...state, limit: applyLimit(state.limit, event, now) };
}

/** State after a call ended. */
export function finish(
  state: GateState,
  { callId, outcome }: { callId: CallId; outcome: CallOutcome },
  now: number,
): GateState {
  const call = state.running.get(callId);
  if (!call) return state;
  const { startedAt } = call;
  switch (outcome.kind) {
    case "abandoned":
      return hold(state, call, now);
    case "unused":
      return withoutRunning(state, callId, now);
    case "failed": {
      const { cold } = outcome;
      // After a lost connection the target may still work on the call.
      const held = hold(state, call, now);
      return withEvidence(held, { kind: "failure", startedAt, cold }, now);
    }
    case "ok":
      return withoutRunning(
        onSuccess(state, call, { serviceMs: outcome.serviceMs, now }),
        callId,
        now,
      );
  }
}

function withoutRunning(
  state: GateState,
  callId: CallId,
  now: number,
): GateState {
  const running = new Map(state.running);
  running.delete(callId);
  return rested({ ...state, running }, now);
}

/** Takes notice that no call is in hand any more. */
function rested(state: GateState, now: number): GateState {
  return state.running.size > 0
    ? state
    : withEvidence(state, { kind: "idle" }, now);
}

/** Keeps the call's place until the target has had time to drop the call. */
function hold(state: GateState, call: RunningCall, now: number): GateState {
  const held = { ...call, heldUntil: now + NOTICE_MS };
  return { ...state, running: new Map(state.running).set(call.callId, held) };
}

function onSuccess(
  state: GateState,
  call: RunningCall,
  opts: { serviceMs: number; now: number },
): GateState {
  const { serviceMs, now } = opts;
  const used = state.running.size >= state.limit.limit;
  const known = state.service.get(call.workClass);
  const slowness = known ? serviceMs / (known.baseMs + LATENCY_SLACK_MS) : 1;
  const service = new Map(state.service)
    .set(call.workClass, addSample(known, serviceMs, now));
  return withEvidence({ ...state, service }, {
    kind: "success",
    startedAt: call.startedAt,
    slowness,
    used,
  }, now);
}

/** State after the first sign of progress of a call. */
export function onSign(
  state: GateState,
  { callId, cold }: { callId: CallId; cold: boolean },
  now: number,
): GateState {
  const call = state.running.get(callId);
  if (!call || call.shown) return state;
  const { startedAt, workClass } = call;
  if (cold) {
    return withEvidence(state, { kind: "sign", startedAt, cold }, now);
  }
  // Progress of a call that a cold target took proves nothing.
  if (startedAt < state.limit.lastColdAt) return state;
  const known = state.first.get(workClass);
  const firstMs = now - startedAt;
  const first = new Map(state.first)
    .set(workClass, addSample(known, firstMs, now));
  const isSlow = known !== undefined &&
    firstMs > known.baseMs * SLOW_FIRST + LATENCY_SLACK_MS;
  if (isSlow) {
    const slowness = firstMs / known.baseMs;
    return withEvidence(
      { ...state, first },
      { kind: "slow", startedAt, slowness },
      now,
    );
  }
  const running = new Map(state.running).set(callId, { ...call, shown: true });
  return withEvidence(
    { ...state, first, running },
    { kind: "sign", startedAt, cold },
    now,
  );
}

/** State without the held calls whose time is over. */
export function releaseHeld(state: GateState, now: number): GateState {
  const running = new Map(
    [...state.running].filter(([, { heldUntil }]) =>
      heldUntil === undefined || heldUntil > now
    ),
  );
  if (running.size === state.running.size) return state;
  return rested({ ...state, running }, now);
}
