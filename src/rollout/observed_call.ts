/**
 * Counts one call to a target for the order in force for its pool, if any.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { ListedTarget } from "../serving/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import { type CountsKey, Measure } from "./evidence.ts";
import type { OpenCall, OpenCalls } from "./open_calls.ts";
import type { PoolRollout } from "./pool_rollout.ts";

/** Time that a call counts as that takes as long as expected, in ms. */
const EXPECTED_CALL_MS = 1_000;
/** Events of a stream after the first one over which its pace is measured. */
const PACE_EVENTS = 16;
/** Factor of the scale of times for the pace, whose times are short. */
const PACE_SCALE = 100;

/** Call to a target, as the control observes it. */
export interface ObservedCall {
  /** Records that the target has received the request. */
  reached(): void;
  /** Records that the response is overdue. */
  overdue(): void;
  /** Records an event of a stream. */
  progressed(): void;
  succeeded(): void;
  failed(): void;
  /** Ends the call without an outcome that the target is responsible for. */
  discarded(): void;
}

/** What is known of a call besides its target. */
export interface CallKind {
  /** Calls of the same route are compared with each other. */
  readonly route: string;
  /** Set for calls of stages. */
  readonly pieces?: number;
  /** Time that the call should take, if that depends on its size, in ms. */
  readonly expectedMs?: number;
}

/**
 * Records a call that is about to be sent; `rollout` is the order in force for
 * the pool of its target.
 */
export function observeCall(
  target: ListedTarget,
  { route, pieces, expectedMs = EXPECTED_CALL_MS }: CallKind,
  { open, rollout, metrics }: {
    readonly open: OpenCalls;
    readonly rollout: PoolRollout | undefined;
    readonly metrics: Metrics;
  },
): ObservedCall {
  const { pool } = target;
  const scale = EXPECTED_CALL_MS / expectedMs;
  const call: OpenCall = { target, route, scale, sentAt: monotonicMs() };
  open.add(pool, call);
  if (rollout?.isNew(target)) rollout.spend(pieces ?? 0);
  let hasReached = false;
  let isOverdue = false;
  const reached = () => {
    if (hasReached || !rollout) return;
    hasReached = true;
    rollout.earn(pieces ?? 0);
    const build = rollout.isNew(target) ? "new" : "other";
    metrics.count("rollout_requests_total", { pool, build });
  };
  let isEnded = false;
  const end = (record?: (rollout: PoolRollout) => void) => {
    if (isEnded) return;
    isEnded = true;
    open.delete(pool, call);
    if (rollout) record?.(rollout);
  };
  const key = (measure: Measure = Measure.Whole): CountsKey => ({
    route,
    measure,
    target: rollout?.isNew(target) ? target.id : undefined,
  });
  let events = 0;
  let firstAt = 0;
  const progressed = () => {
    if (!rollout || events > PACE_EVENTS) return;
    const now = monotonicMs();
    if (events === 0) {
      firstAt = now;
      rollout.evidence = rollout.evidence
        .measured(key(Measure.First), now - call.sentAt);
    }
    if (events === PACE_EVENTS) {
      const ms = PACE_SCALE * (now - firstAt) / PACE_EVENTS;
      rollout.evidence = rollout.evidence.measured(key(Measure.Pace), ms);
    }
    events += 1;
  };
  const failed = () =>
    end((one) => {
      reached();
      one.evidence = one.evidence.failed(key());
    });
  return {
    reached,
    overdue: () => isOverdue = true,
    progressed,
    succeeded: () =>
      end((one) => {
        reached();
        const ms = (monotonicMs() - call.sentAt) * scale;
        one.evidence = one.evidence.measured(key(), ms);
      }),
    failed,
    discarded: () => isOverdue ? failed() : end(),
  };
}
