/**
 * Chooses the target of a request among those in use. Requests that share a
 * prompt prefix go to the same engine, so that it need not process the prefix
 * again, unless that engine is much more loaded than the others.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";
import type { ListedTarget } from "./state_change.ts";

/** Observed load and health of one target. */
export interface TargetLoad {
  /** Requests of this process that are in flight at the target. */
  readonly own: number;
  /** Running and waiting requests that the target last reported. */
  readonly reported: number;
  /** Requests that the target runs concurrently. */
  readonly slots: number;
  /**
   * Weight of the target: 0 while it is ejected, rising during the slow start
   * after that, otherwise 1.
   */
  readonly weight: number;
  /** Share of its newest requests that failed. */
  readonly failureShare: number;
  /** False when this process may not send requests to the target now. */
  readonly isOpen: boolean;
}

/** Target that may be chosen, with its load. */
export interface ServingCandidate {
  readonly target: ListedTarget;
  readonly load: TargetLoad;
}

/**
 * Load that a failure share of 1 counts as. Failures add to the load rather
 * than exclude a target, so that one is still chosen when all fail.
 */
const FAILURE_WEIGHT = 2;
/** Load above the mean that a preferred target may have, as share of slots. */
const AFFINITY_SLACK = 0.12;

/** Inputs of a choice besides the load. */
export interface ChoiceOptions {
  /** Key of the prompt prefix; without one the least loaded is chosen. */
  readonly affinity?: string;
  /** Failure domain of this process. */
  readonly failureDomain: string;
  readonly random: () => number;
}

/** Returns the target for a request, or undefined when none is open. */
export function chooseTarget(
  candidates: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  const open = candidates.filter(({ load }) => load.isOpen && load.weight > 0);
  if (open.length === 0) return undefined;
  if (opts.affinity !== undefined) return affinityTarget(open, opts.affinity);
  return leastLoaded(open, opts);
}

function affinityTarget(
  open: readonly ServingCandidate[],
  affinity: string,
): ListedTarget | undefined {
  const mean = meanLoad(open);
  const order = rendezvousOrder(open, {
    key: affinity,
    idOf: ({ target }) => target.id,
  });
  const first = order.find((one) => loadOf(one) <= mean + AFFINITY_SLACK);
  return (first ?? order[0])?.target;
}

function leastLoaded(
  open: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  const scored = open.map((candidate) => ({
    candidate,
    score: loadOf(candidate) / candidate.load.weight,
    isSameDomain: candidate.target.failureDomain === opts.failureDomain,
    tie: opts.random(),
  }));
  scored.sort((a, b) =>
    a.score - b.score || Number(b.isSameDomain) - Number(a.isSameDomain) ||
    a.tie - b.tie
  );
  return scored[0]?.candidate.target;
}

function meanLoad(open: readonly ServingCandidate[]): number {
  return open.reduce((sum, one) => sum + loadOf(one), 0) / open.length;
}

/** Returns the load relative to the slots; failures count as load. */
function loadOf({ load }: ServingCandidate): number {
  return Math.max(load.own, load.reported) / Math.max(1, load.slots) +
    FAILURE_WEIGHT * load.failureShare;
}
