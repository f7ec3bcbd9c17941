/**
 * Choice of the target of a request among those in use. Requests that share a
 * prompt prefix go to the same engine, so that it need not read the prefix
 * again, unless that engine has much more work than the others.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";
import type { ListedTarget } from "./fleet_state.ts";

/** What is known of the load of one target. */
export interface TargetLoad {
  /** Requests of this process that the target has not answered. */
  readonly own: number;
  /** Requests that the target last reported, running and waiting. */
  readonly reported: number;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Between 0 while it is ejected and 1. */
  readonly weight: number;
  /** Share of the newest requests that it failed. */
  readonly failureShare: number;
  /** False when this process may not send to it now. */
  readonly isOpen: boolean;
}

/** Candidate of a choice. */
export interface ServingCandidate {
  readonly target: ListedTarget;
  readonly load: TargetLoad;
}

/** Weight of failures against load: a failing target is taken when all fail. */
const FAILURE_WEIGHT = 2;
/** Share of the slots by which a preferred target may be ahead of the mean. */
const AFFINITY_SLACK = 0.12;

/** What decides a choice besides the load. */
export interface ChoiceOptions {
  /** Name of the prompt prefix; without one the least loaded is chosen. */
  readonly affinity?: string;
  /** Failure domain of this process. */
  readonly failureDomain: string;
  readonly random: () => number;
}

/** Target for a request, or undefined when none is open. */
export function chooseTarget(
  candidates: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  const open = candidates.filter(({ load }) => load.isOpen && load.weight > 0);
  if (open.length === 0) return undefined;
  if (opts.affinity !== undefined) return preferred(open, opts.affinity);
  return leastLoaded(open, opts);
}

function preferred(
  open: readonly ServingCandidate[],
  affinity: string,
): ListedTarget | undefined {
  const mean = meanShare(open);
  const order = rendezvousOrder(open, {
    key: affinity,
    idOf: ({ target }) => target.id,
  });
  const first = order.find((one) => busyShare(one) <= mean + AFFINITY_SLACK);
  return (first ?? order[0])?.target;
}

function leastLoaded(
  open: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  const scored = open.map((one) => ({
    one,
    score: busyShare(one) / one.load.weight,
    isNear: one.target.failureDomain === opts.failureDomain,
    tie: opts.random(),
  }));
  scored.sort((a, b) =>
    a.score - b.score || Number(b.isNear) - Number(a.isNear) || a.tie - b.tie
  );
  return scored[0]?.one.target;
}

function meanShare(open: readonly ServingCandidate[]): number {
  return open.reduce((sum, one) => sum + busyShare(one), 0) / open.length;
}

/** Load by slots, with failures counted as load. */
function busyShare({ load }: ServingCandidate): number {
  return Math.max(load.own, load.reported) / Math.max(1, load.slots) +
    FAILURE_WEIGHT * load.failureShare;
}
