/**
 * State of a gate, what happens to it and what it asks for.
 *
 * @module
 */

import type { CallId, Refusal } from "../model/mod.ts";
import type { Estimate } from "../telemetry/mod.ts";
import type { FairQueue, GateCall } from "./fair_queue.ts";
import type { LimitConfig, LimitState } from "./limit.ts";

/** Bounds of a gate. */
export interface GateConfig extends LimitConfig {
  /** Most calls that wait. */
  readonly maxQueued: number;
  /** True when answers show progress before they end, as token streams do. */
  readonly showsProgress: boolean;
}

/** A call at the target. */
export interface RunningCall extends GateCall {
  readonly startedAt: number;
  /** True once the target showed that it is warm and works on the call. */
  readonly shown: boolean;
  /** Set when the caller is gone and the target may not know yet. */
  readonly heldUntil?: number;
}

/** State of a gate. */
export interface GateState {
  readonly cfg: GateConfig;
  readonly limit: LimitState;
  readonly running: ReadonlyMap<CallId, RunningCall>;
  readonly queue: FairQueue;
  /** Service times by class of work. */
  readonly service: ReadonlyMap<string, Estimate>;
  /** Times to the first sign of progress by class of work. */
  readonly first: ReadonlyMap<string, Estimate>;
}

/** How a started call ended. */
export type CallOutcome =
  | { readonly kind: "ok"; readonly serviceMs: number }
  | {
    readonly kind: "failed";
    readonly serviceMs: number;
    /** True when the target has to be taken for cold. */
    readonly cold: boolean;
  }
  /** The caller gave the call up while the target had it. */
  | { readonly kind: "abandoned" }
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
  /** The first sign of progress of a running call. */
  | { readonly kind: "sign"; readonly callId: CallId; readonly cold: boolean }
  | { readonly kind: "cancel"; readonly callId: CallId }
  /** A load report of the target, sampled at `sampledAt`. */
  | {
    readonly kind: "report";
    readonly sampledAt: number;
    readonly cold: boolean;
  }
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
