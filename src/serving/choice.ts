/**
 * Chooses the target of a request among those in use. Requests that share a
 * prompt prefix go to the same engine, so that it need not process the prefix
 * again, unless that engine is much more loaded than the others.
 *
 * Where targets report how fast they work at present, the expected time to the
 * first event decides instead of the count of requests.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";
import {
  expectedTimes,
  type TargetCapacity,
  type TimedCandidate,
} from "./expected_time.ts";
import type { PoolProfile } from "./pool_profile.ts";
import type { RequestWork } from "./request_work.ts";
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
  /**
   * What the target can do now; set for all targets of a pool whose targets
   * report their slowdown.
   */
  readonly capacity?: TargetCapacity;
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
  /** What the request needs; without it, the count of requests decides. */
  readonly work?: RequestWork;
  /** True when this process has sent the prefix to some target before. */
  readonly isKnownPrefix?: boolean;
  /** Usual requests of the pool. */
  readonly profile?: PoolProfile;
}

/**
 * Smallest difference of costs that counts, in milliseconds, and the same as a
 * share of the lowest cost. Processes that know the same old reports would all
 * send their next requests to the same target if the lowest cost decided alone.
 */
const MIN_SPREAD_MS = 1.5;
const SPREAD_SHARE = 0.12;

/** Chosen target. */
export interface Placement {
  readonly target: ListedTarget;
  /** Expected time there; undefined where the count of requests decided. */
  readonly timed?: TimedCandidate;
}

/** Returns the target for a request, or undefined when none is open. */
export function chooseTarget(
  candidates: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  return placeRequest(candidates, opts)?.target;
}

/** Returns the target for a request with what decided the choice. */
export function placeRequest(
  candidates: readonly ServingCandidate[],
  opts: ChoiceOptions,
): Placement | undefined {
  const timed = timeCandidates(candidates, opts);
  if (timed.length > 0) {
    // Each prefix has its own order of targets, which spreads the requests.
    return opts.affinity === undefined
      ? chooseByTime(timed, opts.random)
      : lowestCost(timed);
  }
  const target = chooseByCount(candidates, opts);
  return target && { target };
}

function chooseByCount(
  candidates: readonly ServingCandidate[],
  opts: ChoiceOptions,
): ListedTarget | undefined {
  const open = candidates.filter(isOpen);
  if (open.length === 0) return undefined;
  if (opts.affinity !== undefined) return affinityTarget(open, opts.affinity);
  return leastLoaded(open, opts);
}

/**
 * Returns the expected times at the open candidates; none where the count of
 * requests decides. Closed ones count in the order of a prefix, so that it
 * stays the same for all processes.
 */
export function timeCandidates(
  candidates: readonly ServingCandidate[],
  { work, profile, affinity, failureDomain, isKnownPrefix }: ChoiceOptions,
): readonly TimedCandidate[] {
  if (!work || !profile) return [];
  // Without token counts the value of a prefix is not known.
  if (affinity !== undefined && work.promptTokens === 0) return [];
  return expectedTimes(candidates, {
    work,
    profile,
    affinity,
    isKnownPrefix,
    failureDomain,
  }).filter(({ candidate }) => isOpen(candidate));
}

function isOpen({ load }: ServingCandidate): boolean {
  return load.isOpen && load.weight > 0;
}

/** Targets at the start of a prefix's order that a sample includes. */
const SAMPLED_HOMES = 4;

/**
 * Returns the candidates of a large pool that are compared: the first ones of
 * the order of the prefix, and others at random.
 */
export function sampleCandidates(
  candidates: readonly ServingCandidate[],
  { affinity, count, random }: {
    readonly affinity?: string;
    readonly count: number;
    readonly random: () => number;
  },
): ReadonlySet<ServingCandidate> {
  if (candidates.length <= count) return new Set(candidates);
  const homes = affinity === undefined ? [] : rendezvousOrder(candidates, {
    key: affinity,
    idOf: ({ target }) => target.id,
  }).slice(0, SAMPLED_HOMES);
  const sample = new Set(homes);
  // Closed targets may take most of the draws, so these are bounded.
  for (let draws = 0; sample.size < count && draws < 4 * count; draws++) {
    const drawn = candidates[Math.floor(random() * candidates.length)];
    if (drawn && isOpen(drawn)) sample.add(drawn);
  }
  return sample;
}

function lowestCost(timed: readonly TimedCandidate[]): Placement | undefined {
  const [first, ...others] = timed;
  if (!first) return undefined;
  const lowest = others.reduce(
    (least, next) =>
      next.expected.costMs < least.expected.costMs ? next : least,
    first,
  );
  return { target: lowest.candidate.target, timed: lowest };
}

/** Chooses at random, the more likely the lower the cost of a target is. */
function chooseByTime(
  timed: readonly TimedCandidate[],
  random: () => number,
): Placement | undefined {
  const sorted = [...timed]
    .sort((a, b) => a.expected.costMs - b.expected.costMs);
  const lowest = sorted[0]?.expected.costMs ?? 0;
  const spread = Math.max(MIN_SPREAD_MS, SPREAD_SHARE * lowest);
  const odds = sorted.map(({ expected }) =>
    Math.exp((lowest - expected.costMs) / spread)
  );
  let point = random() * odds.reduce((sum, one) => sum + one, 0);
  const drawn = sorted.find((_, i) => (point -= odds[i] ?? 0) < 0);
  const chosen = drawn ?? sorted[0];
  return chosen && { target: chosen.candidate.target, timed: chosen };
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
