/**
 * Writes the phases of orders to the store and logs the decisions.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  eraOf,
  numberOf,
  RolloutPhase,
  type RolloutVerdict,
} from "../serving/mod.ts";
import type { LogFields, Logger, Metrics } from "../telemetry/mod.ts";
import type { Judgement } from "./judgement.ts";
import { laterPhase } from "./phases.ts";
import type { PoolRollout } from "./pool_rollout.ts";
import type { RolloutFleet, RolloutWriter } from "./ports.ts";
import type { Decision } from "./rollout_decider.ts";

/** Longest wait for a write, in milliseconds. */
const WRITE_TIMEOUT_MS = 1_500;
/** Pause after a write that the store did not accept, in milliseconds. */
const WRITE_PAUSE_MS = 400;

/** State of the writes for one order. */
interface WriteState {
  isWriting: boolean;
  /** Monotonic time of the next attempt after one that was not accepted. */
  writeAt: number;
}

/** Writes phases. */
export class VerdictWriter {
  readonly #deps: {
    readonly fleet: RolloutFleet;
    readonly write: RolloutWriter;
    readonly log: Logger;
    readonly metrics: Metrics;
  };
  readonly #writes = new WeakMap<PoolRollout, WriteState>();

  constructor(deps: {
    readonly fleet: RolloutFleet;
    readonly write: RolloutWriter;
    readonly log: Logger;
    readonly metrics: Metrics;
  }) {
    this.#deps = deps;
  }

  /** True when the store already holds a phase, or a later one. */
  isWritten({ listed }: PoolRollout, phase: RolloutPhase): boolean {
    const { verdict, verdictVersion } = listed;
    if (!verdict) return false;
    const isCurrent = eraOf(verdictVersion) >= this.#deps.fleet.storeEra();
    return isCurrent && laterPhase(verdict.phase, phase) === verdict.phase;
  }

  /**
   * Writes a phase unless a write is in progress or has just failed; the phase
   * holds once the store has accepted it.
   */
  async write(
    rollout: PoolRollout,
    phase: RolloutPhase,
    decision: Decision | undefined,
    signal: AbortSignal,
  ): Promise<void> {
    const state = this.#writes.get(rollout) ??
      { isWriting: false, writeAt: 0 };
    this.#writes.set(rollout, state);
    if (state.isWriting || monotonicMs() < state.writeAt) return;
    state.isWriting = true;
    const { fleet, write, log, metrics } = this.#deps;
    const { pool, verdictVersion } = rollout.listed;
    const isCurrent = eraOf(verdictVersion) >= fleet.storeEra();
    const fields = { pool, to: rollout.to, phase };
    try {
      const written = await write({
        pool,
        verdict: this.#verdictOf(rollout, phase),
        ageMs: rollout.ageMs(monotonicMs()),
        expected: isCurrent ? numberOf(verdictVersion) : 0,
      }, timeoutSignal(WRITE_TIMEOUT_MS, signal));
      if (!written) {
        state.writeAt = monotonicMs() + WRITE_PAUSE_MS;
        log.warn("rollout_not_written", fields);
        return;
      }
      fleet.learn(written.changes);
      if (!written.isWritten) {
        log.info("rollout_written_by_other", fields);
        return;
      }
      metrics.count("rollout_phases_total", { pool, phase });
      log.info("rollout_written", fields);
      if (decision && phase !== RolloutPhase.Reverted) {
        logDecision(log, rollout, decision);
      }
    } finally {
      state.isWriting = false;
    }
  }

  #verdictOf(rollout: PoolRollout, phase: RolloutPhase): RolloutVerdict {
    const { pool, orderNumber, verdict } = rollout.listed;
    const listed = [...this.#deps.fleet.state().targets.values()]
      .flatMap(({ target }) => target?.pool === pool ? target : [])
      .filter((target) => !rollout.isNew(target))
      .map(({ build }) => build ?? null);
    const from = verdict?.from ?? [...new Set(listed)];
    return { order: orderNumber, to: rollout.to, phase, from };
  }
}

/** Logs a decision with the figures that determined it. */
export function logDecision(
  log: Logger,
  rollout: PoolRollout,
  { phase, reason, judgement, reports, ageMs }: Decision,
): void {
  log.info("rollout_decided", {
    pool: rollout.listed.pool,
    to: rollout.to,
    phase,
    reason,
    ageMs: Math.round(ageMs),
    reports,
    isThin: judgement.isThin,
    ...figuresOf(judgement),
  });
}

/** Figures of a judgement for a log line. */
export function figuresOf(
  { kind, route, measure, probability, tested, base }: Judgement,
): LogFields {
  return {
    kind,
    route,
    measure,
    probability: Number(probability.toPrecision(3)),
    newBad: tested.bad,
    newTotal: tested.total,
    otherBad: base.bad,
    otherTotal: base.total,
  };
}
