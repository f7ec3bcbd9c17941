/**
 * Choice of a target for a call.
 *
 * Calls that share a prompt prefix go to the same target, in whatever failure
 * domain it is, as long as its load permits. Other calls use the power of two
 * choices: two targets are drawn at random and the less loaded one is chosen,
 * first within the entry's own failure domain and in other domains once that
 * one has no headroom.
 *
 * @module
 */

import type { DomainName, Target, TargetId, TargetLoad } from "../model/mod.ts";
import { rendezvousOrder } from "./hash.ts";

/** A target that may receive the call. */
export interface Candidate {
  readonly target: Target;
  /** Newest load report; absent before the first one. */
  readonly load?: TargetLoad;
  /** Time since the report, in milliseconds. */
  readonly loadAgeMs: number;
  /** Calls that this entry has in flight at the target. */
  readonly outstanding: number;
  /** Calls that this entry has started at the target since the report. */
  readonly startedSinceReport: number;
  /**
   * Probability that a random draw includes the target, from 0 to 1; a target
   * of weight 0 is not eligible.
   */
  readonly weight: number;
  /** True when the target is recorded as holding the call's prefix. */
  readonly holdsPrefix: boolean;
}

/** Inputs of the choice besides the candidates. */
export interface ChoiceOptions {
  /** Returns a uniform random number in [0, 1). */
  readonly random: () => number;
  /** The entry's failure domain, preferred while it has headroom. */
  readonly localDomain?: DomainName;
  /** Targets of earlier attempts, which are not chosen again. */
  readonly exclude?: ReadonlySet<TargetId>;
  /** Failure domains to avoid as long as there are candidates in others. */
  readonly avoidDomains?: ReadonlySet<DomainName>;
  /** Key of the call's prompt prefix. */
  readonly prefix?: string;
}

/** Pressure below which the entry's own failure domain has headroom. */
export const MAX_LOCAL_PRESSURE = 0.8;
/**
 * Difference in pressure by which a target in another failure domain has to be
 * less loaded to be chosen over a local one.
 */
const CROSS_DOMAIN_PENALTY = 0.2;
/** Pressure below which prefix affinity decides. */
export const AFFINITY_PRESSURE = 0.75;
/**
 * Multiple of the mean pressure below which prefix affinity decides as well,
 * so that affinity still works when all targets are loaded.
 */
export const AFFINITY_RATIO = 1.25;
/** Half-life of the weight of a load report, in milliseconds. */
const REPORT_HALF_LIFE_MS = 2_000;
/** Concurrency limit assumed for a target without a load report. */
const UNREPORTED_LIMIT = 2;

/** A candidate with its pressure: its load as a share of its limit. */
interface ScoredCandidate {
  readonly candidate: Candidate;
  readonly pressure: number;
}

/** Returns the chosen target, or undefined when no candidate is eligible. */
export function chooseTarget(
  candidates: readonly Candidate[],
  opts: ChoiceOptions,
): Target | undefined {
  const eligible = candidates.filter(({ target, load, weight }) =>
    !opts.exclude?.has(target.id) && !load?.leaving && weight > 0
  );
  const scored = scoreCandidates(
    preferOtherDomains(eligible, opts.avoidDomains),
  );
  const chosen = chooseByPrefix(scored, opts) ?? chooseByLoad(scored, opts);
  return chosen?.candidate.target;
}

/** Estimates each candidate's pressure; old reports decay to the mean. */
function scoreCandidates(
  candidates: readonly Candidate[],
): readonly ScoredCandidate[] {
  const reported = candidates.flatMap(({ load }) =>
    load ? [reportedPressureOf(load)] : []
  );
  const mean = average(reported);
  return candidates.map((candidate) => ({
    candidate,
    pressure: pressureOf(candidate, mean),
  }));
}

function pressureOf(candidate: Candidate, mean: number): number {
  const { load, loadAgeMs, outstanding, startedSinceReport } = candidate;
  if (!load) return outstanding / UNREPORTED_LIMIT;
  const limit = Math.max(1, load.limit);
  const reportWeight = 0.5 ** (loadAgeMs / REPORT_HALF_LIFE_MS);
  const estimate = reportWeight * reportedPressureOf(load) +
    (1 - reportWeight) * mean;
  return Math.max(outstanding / limit, estimate + startedSinceReport / limit);
}

function reportedPressureOf({ running, queued, limit }: TargetLoad): number {
  return (running + queued) / Math.max(1, limit);
}

/**
 * Returns the first target of full weight in the prefix's rendezvous order
 * whose pressure is below the affinity bound, holders of the prefix first. The
 * order ignores failure domains: computing a prefix again costs more than a
 * call to another domain, and a copy in each domain wastes the engines' memory.
 */
function chooseByPrefix(
  scored: readonly ScoredCandidate[],
  { prefix }: ChoiceOptions,
): ScoredCandidate | undefined {
  if (prefix === undefined) return undefined;
  const bound = Math.max(
    AFFINITY_PRESSURE,
    AFFINITY_RATIO * average(scored.map(({ pressure }) => pressure)),
  );
  const ordered = rendezvousOrder(
    scored.filter(({ candidate }) => candidate.weight === 1),
    { key: prefix, idOf: ({ candidate }) => candidate.target.id },
  );
  const ranked = [
    ...ordered.filter(({ candidate }) => candidate.holdsPrefix),
    ...ordered,
  ];
  return ranked.find(({ pressure }) => pressure < bound);
}

/** Chooses the less loaded of two, locally while there is headroom. */
function chooseByLoad(
  scored: readonly ScoredCandidate[],
  { localDomain, random }: ChoiceOptions,
): ScoredCandidate | undefined {
  const isLocal = ({ candidate }: ScoredCandidate) =>
    candidate.target.domain === localDomain;
  const local = lessLoadedOfTwo(scored.filter(isLocal), random);
  if (local && local.pressure < MAX_LOCAL_PRESSURE) return local;
  const remote = lessLoadedOfTwo(
    scored.filter((one) => !isLocal(one)),
    random,
  );
  if (!local || !remote) return local ?? remote;
  return remote.pressure + CROSS_DOMAIN_PENALTY < local.pressure
    ? remote
    : local;
}

function lessLoadedOfTwo(
  scored: readonly ScoredCandidate[],
  random: () => number,
): ScoredCandidate | undefined {
  const included = scored.filter(({ candidate }) =>
    candidate.weight === 1 || random() < candidate.weight
  );
  const from = included.length > 0 ? included : scored;
  const first = pickRandom(from, random);
  const second = pickRandom(from.filter((one) => one !== first), random);
  if (!first || !second) return first;
  return first.pressure <= second.pressure ? first : second;
}

function pickRandom<T>(
  items: readonly T[],
  random: () => number,
): T | undefined {
  return items[Math.floor(random() * items.length)];
}

function preferOtherDomains(
  candidates: readonly Candidate[],
  avoid: ReadonlySet<DomainName> | undefined,
): readonly Candidate[] {
  if (!avoid || avoid.size === 0) return candidates;
  const others = candidates.filter(({ target }) => !avoid.has(target.domain));
  return others.length > 0 ? others : candidates;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}
