/**
 * Drives the gate of a target: applies events to its state and settles the
 * promises of waiting calls according to its effects.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import {
  applyGate,
  type CallOutcome,
  createGate,
  type GateCall,
  type GateConfig,
  type GateEffect,
  type GateEvent,
  type GateState,
} from "../limits/mod.ts";
import {
  type CallId,
  notRun,
  type OrganisationId,
  type Refusal,
  RefusalReason,
  type StageCall,
  type TargetLoad,
} from "../model/mod.ts";

/** Time between two checks of the queue's deadlines, in milliseconds. */
const TICK_MS = 50;

/**
 * Permission to run one call. It has to be released; only the first release has
 * an effect.
 */
export interface Permit {
  /** Time spent in the queue, in milliseconds. */
  readonly queuedMs: number;
  /** Reports that the target works on the call, and whether it is cold. */
  reportProgress(progress: { cold: boolean }): void;
  release(outcome: CallOutcome): void;
}

type Settle = (refusal?: Refusal) => void;

/** The gate in front of the agent's target. */
export class GateService {
  readonly #waiting = new Map<CallId, Settle>();
  #state: GateState;
  #leaving = false;

  constructor(cfg: GateConfig, signal: AbortSignal) {
    this.#state = createGate(cfg, monotonicMs());
    const timer = setInterval(() => this.#apply({ kind: "tick" }), TICK_MS);
    signal.addEventListener("abort", () => clearInterval(timer));
  }

  /**
   * Load of the target, as reported to entries. A target that is presumed cold
   * only because it was idle is not reported as cold.
   */
  get load(): TargetLoad {
    return {
      running: this.#state.running.size,
      queued: this.#state.queue.calls.length,
      limit: this.#state.limit.limit,
      cold: this.#state.limit.cold && !this.#state.limit.coldFromIdle,
      leaving: this.#leaving,
    };
  }

  /** Load with the number of running and queued calls of an organisation. */
  loadFor(organisation: OrganisationId): TargetLoad {
    const { running, queue } = this.#state;
    const isOwn = (call: GateCall) => call.organisation === organisation;
    const inFlight = [...running.values()].filter(isOwn).length +
      queue.calls.filter(isOwn).length;
    return { ...this.load, organisationInHand: inFlight };
  }

  /** Marks the target as leaving in its load reports. */
  leave(): void {
    this.#leaving = true;
  }

  /**
   * Applies the target's own load report. `ageMs` is the time since it was
   * sampled, as reports lag behind.
   */
  report(report: { ageMs: number; cold: boolean }): void {
    const { ageMs, cold } = report;
    this.#apply({ kind: "report", sampledAt: monotonicMs() - ageMs, cold });
  }

  /** Waits for permission to run a call. Refused calls did not run. */
  enter(call: StageCall, signal: AbortSignal): ResultAsync<Permit, Refusal> {
    if (signal.aborted) return errAsync(cancelled());
    const arrivedAt = monotonicMs();
    const cancel = () => this.#cancel(call.callId);
    const decision = new Promise<Refusal | undefined>((resolve) => {
      this.#waiting.set(call.callId, resolve);
      signal.addEventListener("abort", cancel);
      this.#apply({ kind: "arrive", call: gateCallOf(call, arrivedAt) });
    }).finally(() => signal.removeEventListener("abort", cancel));
    return ResultAsync.fromSafePromise(decision).andThen((refusal) =>
      refusal ? errAsync(refusal) : okAsync(this.#permit(call, arrivedAt))
    );
  }

  #permit({ callId }: StageCall, arrivedAt: number): Permit {
    let released = false;
    return {
      queuedMs: monotonicMs() - arrivedAt,
      reportProgress: ({ cold }) =>
        this.#apply({ kind: "progress", callId, cold }),
      release: (outcome) => {
        if (released) return;
        released = true;
        this.#apply({ kind: "finish", callId, outcome });
      },
    };
  }

  #cancel(callId: CallId): void {
    if (!this.#waiting.has(callId)) return;
    this.#apply({ kind: "cancel", callId });
    this.#settle(callId, cancelled());
  }

  #apply(event: GateEvent): void {
    const { state, effects } = applyGate(this.#state, event, monotonicMs());
    this.#state = state;
    effects.forEach((effect) => this.#applyEffect(effect));
  }

  #applyEffect(effect: GateEffect): void {
    const refusal = effect.kind === "refuse" ? effect.refusal : undefined;
    this.#settle(effect.callId, refusal);
  }

  #settle(callId: CallId, refusal?: Refusal): void {
    const settle = this.#waiting.get(callId);
    this.#waiting.delete(callId);
    settle?.(refusal);
  }
}

function gateCallOf(call: StageCall, arrivedAt: number): GateCall {
  return {
    callId: call.callId,
    organisation: call.organisation,
    weight: call.weight,
    priority: call.priority,
    workClass: `${call.pipeline}/${call.stage}`,
    arrivedAt,
    deadlineAt: arrivedAt + call.remainingMs - (call.laterMs ?? 0),
  };
}

function cancelled(): Refusal {
  return notRun(RefusalReason.Cancelled, "The caller gave the call up");
}
