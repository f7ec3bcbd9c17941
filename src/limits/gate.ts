/**
 * Gate before a target: which calls run, which wait and which are refused.
 *
 * The state is an immutable value; {@linkcode applyGate} applies an event and
 * gives the next state and the effects to carry out.
 *
 * A target may turn cold without warning. At a target whose answers show early
 * progress, the gate therefore lets no more calls than a cold target bears be
 * in hand without a sign of life: a target that lost its work and turned cold
 * is not overfilled even before the gate learns of it.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { notRun, RefusalReason } from "../model/mod.ts";
import { meanMs } from "../telemetry/mod.ts";
import {
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  type GateCall,
  nextCall,
  startCall,
} from "./fair_queue.ts";
import type {
  GateConfig,
  GateEffect,
  GateEvent,
  GateState,
  GateStep,
} from "./gate_state.ts";
import { finish, onSign, releaseHeld, withEvidence } from "./gate_running.ts";
import { createLimit } from "./limit.ts";
import { isHopeless, overfullOrganisationCall, retryAfterMs } from "./wait.ts";

/** State of a gate whose target counts as cold. */
export function createGate(cfg: GateConfig, now: number): GateState {
  return {
    cfg,
    limit: createLimit(cfg, now),
    running: new Map(),
    queue: EMPTY_QUEUE,
    service: new Map(),
    first: new Map(),
  };
}

/** Applies an event at time `now`, in monotonic milliseconds. */
export function applyGate(
  state: GateState,
  event: GateEvent,
  now: number,
): GateStep {
  const step = startCalls(applyEvent(state, event, now), now);
  // All waiting calls are looked at on ticks only, since that costs most.
  if (event.kind === "tick") return refuseHopeless(step, now, () => true);
  if (event.kind !== "arrive") return step;
  return refuseHopeless(step, now, (call) => call === event.call);
}

function applyEvent(state: GateState, event: GateEvent, now: number): GateStep {
  switch (event.kind) {
    case "arrive":
      return arrive(state, event.call, now);
    case "finish":
      return unchanged(finish(state, event, now));
    case "sign":
      return unchanged(onSign(state, event, now));
    case "cancel": {
      const queue = dequeue(
        state.queue,
        (call) => call.callId === event.callId,
      );
      return unchanged({ ...state, queue });
    }
    case "report":
      return unchanged(withEvidence(state, event, now));
    case "tick":
      return unchanged(withEvidence(releaseHeld(state, now), event, now));
  }
}

function unchanged(state: GateState): GateStep {
  return { state, effects: [] };
}

function arrive(state: GateState, call: GateCall, now: number): GateStep {
  const joined = { ...state, queue: enqueue(state.queue, call) };
  if (joined.queue.calls.length <= state.cfg.maxQueued) {
    return unchanged(joined);
  }
  const dropped = overfullOrganisationCall(joined.queue);
  return {
    state: {
      ...joined,
      queue: dequeue(joined.queue, (one) => one === dropped),
    },
    effects: [refuse(state, dropped, now)],
  };
}

/** Refuses those of the waiting calls that can no longer end in time. */
function refuseHopeless(
  { state, effects }: GateStep,
  now: number,
  isChecked: (call: GateCall) => boolean,
): GateStep {
  const hopeless = state.queue.calls.filter((call) =>
    isChecked(call) && isHopeless(state, call, now)
  );
  if (hopeless.length === 0) return { state, effects };
  const dropped = new Set(hopeless);
  const queue = dequeue(state.queue, (call) => dropped.has(call));
  return {
    state: { ...state, queue },
    effects: [
      ...effects,
      ...hopeless.map((call) => refuse(state, call, now)),
    ],
  };
}

function startCalls(step: GateStep, now: number): GateStep {
  let { state } = step;
  const effects = [...step.effects];
  while (roomOf(state) > 0) {
    const call = nextCall(state.queue, now);
    if (!call) break;
    if (isHopeless(state, call, now)) {
      const queue = dequeue(state.queue, (one) => one === call);
      effects.push(refuse(state, call, now));
      state = { ...state, queue };
      continue;
    }
    const costMs = meanMs(state.service.get(call.workClass), now);
    state = {
      ...state,
      queue: startCall(state.queue, call, { costMs, now }),
      running: new Map(state.running)
        .set(call.callId, { ...call, startedAt: now, shown: false }),
    };
    effects.push({ kind: "start", callId: call.callId });
    checkBounds(state);
  }
  return { state, effects };
}

/** Calls that may start now. */
function roomOf(state: GateState): number {
  const byLimit = state.limit.limit - state.running.size;
  if (!state.cfg.showsProgress) return byLimit;
  return Math.min(byLimit, state.cfg.coldLimit - unshown(state));
}

function unshown({ running }: GateState): number {
  return [...running.values()].filter(({ shown }) => !shown).length;
}

function checkBounds(state: GateState): void {
  const { running, limit, cfg } = state;
  invariant(
    running.size <= limit.limit,
    "gate-limit",
    () => `running=${running.size} limit=${limit.limit}`,
  );
  invariant(
    !cfg.showsProgress || unshown(state) <= cfg.coldLimit,
    "gate-unshown",
    () => `unshown=${unshown(state)} cold=${cfg.coldLimit}`,
  );
}

function refuse(state: GateState, call: GateCall, now: number): GateEffect {
  const refusal = notRun(
    state.limit.cold ? RefusalReason.ColdTarget : RefusalReason.OverLimit,
    "The target cannot run the call before its deadline",
    retryAfterMs(state, now),
  );
  return { kind: "refuse", callId: call.callId, refusal };
}
