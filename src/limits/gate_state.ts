/**
 * State, events and effects of a gate.
 *
 * @module
 */

import type { CallId, Refusal } from "../model/mod.ts";
import type { Estimate } from "../telemetry/mod.ts";
import type { FairQueue, GateCall } from "./fair_queue.ts";
import type { LimitConfig, LimitState } from "./limit.ts";

/** Configuration of a gate. */
export interface GateConfig extends LimitConfig {
  /** Maximum number of waiting calls. */
  readonly maxQueued: number;
  /** True when responses show progress before they end, as streams do. */
  readonly streamsProgress: boolean;
}

/** A call at the target. */
export interface RunningCall extends GateCall {
  readonly startedAt: number;
  /** True once the call has made progress at a warm target. */
  readonly progressSeen: boolean;
  /**
   * Time until which the slot stays taken after the call ended: the target may
   * still work on it.
   */
  readonly heldUntil?: number;
}

/** State of a gate. */
export interface GateState {
  readonly cfg: GateConfig;
  readonly limit: LimitState;
  readonly running: ReadonlyMap<CallId, RunningCall>;
  readonly queue: FairQueue;
  /** Service times by work class. */
  readonly service: ReadonlyMap<string, Estimate>;
  /** Times to first progress by work class. */
  readonly firstProgress: ReadonlyMap<string, Estimate>;
}

/** How a started call ended. */
export type CallOutcome =
  | { readonly kind: "ok"; readonly serviceMs: number }
  | {
    readonly kind: "failed";
    readonly serviceMs: number;
    /** True when the target has to be presumed cold. */
    readonly cold: boolean;
  }
  /** The caller cancelled the call while it was at the target. */
  | { readonly kind: "abandoned" }
  /** The call was permitted but not sent. */
  | { readonly kind: "unused" };

/** Event that changes the state of a gate. */
export type GateEvent =
  | { readonly kind: "arrive"; readonly call: GateCall }
  | {
    readonly kind: "finish";
    readonly callId: CallId;
    readonly outcome: CallOutcome;
  }
  /** The first sign of progress of a running call. */
  | {
    readonly kind: "progress";
    readonly callId: CallId;
    readonly cold: boolean;
  }
  | { readonly kind: "cancel"; readonly callId: CallId }
  /** A load report of the target, sampled at `sampledAt`. */
  | {
    readonly kind: "report";
    readonly sampledAt: number;
    readonly cold: boolean;
  }
  | { readonly kind: "tick" };

/** Effect that the caller of the gate has to carry out. */
export type GateEffect =
  | { readonly kind: "start"; readonly callId: CallId }
  | {
    readonly kind: "refuse";
    readonly callId: CallId;
    readonly refusal: Refusal;
  };

/** Next state and the effects to carry out. */
export interface GateStep {
  readonly state: GateState;
  readonly effects: readonly GateEffect[];
}
