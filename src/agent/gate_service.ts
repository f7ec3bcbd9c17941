/**
 * Runs the gate's decisions: turns its effects into answered promises.
 *
 * @module
 */

import { errAsync, okAsync, ResultAsync } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import {
  applyGate,
  type CallOutcome,
  createGate,
  type GateConfig,
  type GateEffect,
  type GateEvent,
  type GateState,
} from "../limits/mod.ts";
import {
  type CallId,
  notRun,
  type Refusal,
  RefusalReason,
  type StageCall,
  type TargetLoad,
} from "../model/mod.ts";

/** Time between two looks at the queue's deadlines, in milliseconds. */
const TICK_MS = 50;

/** Right to run one call; released exactly once. */
export interface Permit {
  /** Time spent in the queue, in milliseconds. */
  readonly queuedMs: number;
  release(outcome: CallOutcome): void;
}

type Settle = (refusal?: Refusal) => void;

/** The gate before the agent's target. */
export class GateService {
  readonly #waiting = new Map<CallId, Settle>();
  #state: GateState;
  #leaving = false;

  constructor(cfg: GateConfig, signal: AbortSignal) {
    this.#state = createGate(cfg);
    const timer = setInterval(() => this.#apply({ kind: "tick" }), TICK_MS);
    signal.addEventListener("abort", () => clearInterval(timer));
  }

  /** Load as it is reported to entries. */
  get load(): TargetLoad {
    return {
      running: this.#state.running.size,
      queued: this.#state.queue.length,
      limit: this.#state.limit,
      cold: this.#state.cold,
      leaving: this.#leaving,
    };
  }

  /** Marks the target as leaving in its load reports. */
  leave(): void {
    this.#leaving = true;
  }

  /** Takes notice of a target that says it is in cold start. */
  turnedCold(): void {
    this.#apply({ kind: "turned-cold" });
  }

  /** Waits for the right to run a call. Refused calls did not run. */
  enter(call: StageCall, signal: AbortSignal): ResultAsync<Permit, Refusal> {
    if (signal.aborted) return errAsync(cancelled());
    const arrivedAt = monotonicMs();
    const verdict = new Promise<Refusal | undefined>((resolve) => {
      this.#waiting.set(call.callId, resolve);
      signal.addEventListener("abort", () => this.#cancel(call.callId));
      this.#apply({
        kind: "arrive",
        call: {
          callId: call.callId,
          customer: call.customer,
          weight: call.weight,
          priority: call.priority,
          arrivedAt,
          deadlineAt: arrivedAt + call.remainingMs,
        },
      });
    });
    return ResultAsync.fromSafePromise(verdict).andThen((refusal) =>
      refusal ? errAsync(refusal) : okAsync(this.#permit(call, arrivedAt))
    );
  }

  #permit(call: StageCall, arrivedAt: number): Permit {
    let released = false;
    return {
      queuedMs: monotonicMs() - arrivedAt,
      release: (outcome) => {
        if (released) return;
        released = true;
        this.#apply({ kind: "finish", callId: call.callId, outcome });
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
    effects.forEach((effect) => this.#perform(effect));
  }

  #perform(effect: GateEffect): void {
    const refusal = effect.kind === "refuse" ? effect.refusal : undefined;
    this.#settle(effect.callId, refusal);
  }

  #settle(callId: CallId, refusal?: Refusal): void {
    const settle = this.#waiting.get(callId);
    this.#waiting.delete(callId);
    settle?.(refusal);
  }
}

function cancelled(): Refusal {
  return notRun(RefusalReason.Cancelled, "The caller gave the call up");
}
