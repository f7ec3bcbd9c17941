/**
 * Choice of a target for a call.
 *
 * Calls that share a prompt prefix keep to the same target while its load
 * allows, in whatever failure domain it is. Other calls take the better of two targets drawn at random, first
 * in the entry's own failure domain, and elsewhere once that one has no
 * headroom left.
 *
 * @module
 */

import type { DomainName, Target, TargetId, TargetLoad } from "../model/mod.ts";
import { rendezvousOrder } from "./hash.ts";

/** A target that may take the call. */
export interface Candidate {
  readonly target: Target;
  /** Newest load report; absent until the first answer. */
  readonly load?: TargetLoad;
  /** Time since the report, in milliseconds. */
  readonly loadAgeMs: number;
  /** Calls that this entry has in hand at the target. */
  readonly outstanding: number;
  /** Calls that this entry began at the target since the report. */
  readonly begunSince: number;
  /** Share of the draws that the target takes part in, above 0 up to 1. */
  readonly weight: number;
  /** True when the target is believed to hold the call's prefix. */
  readonly holdsPrefix: boolean;
}

/** What the choice depends on. */
export interface ChoiceOptions {
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Failure domain that is preferred while it has headroom. */
  readonly homeDomain?: DomainName;
  /** Targets that were tried already. */
  readonly exclude?: ReadonlySet<TargetId>;
  /** Failure domains that are avoided while there are others. */
  readonly avoidDomains?: ReadonlySet<DomainName>;
  /** Key of the call's prompt prefix. */
  readonly prefix?: string;
}

/** Pressure below which the entry's own failure domain has headroom. */
export const HOME_HEADROOM = 0.8;
/** Pressure that a target elsewhere must be better by. */
const CROSS_DOMAIN_COST = 0.2;
/** Pressure up to which a target takes calls for its prefixes. */
export const AFFINITY_PRESSURE = 0.75;
/** Pressure as a multiple of the mean up to which it takes them as well. */
export const AFFINITY_RATIO = 1.25;
/** Time in which a load report loses half of its weight, in milliseconds. */
const REPORT_HALF_LIFE_MS = 2_000;
/** Limit that is assumed of a target which has not reported yet. */
const UNREPORTED_LIMIT = 2;

/** A candidate with its pressure: work in hand as a share of the limit. */
interface Weighed {
  readonly candidate: Candidate;
  readonly pressure: number;
}

/** Picks a target, or undefined when there is none. */
export function chooseTarget(
  candidates: readonly Candidate[],
  opts: ChoiceOptions,
): Target | undefined {
  const open = candidates.filter(({ target, load, weight }) =>
    !opts.exclude?.has(target.id) && !load?.leaving && weight > 0
  );
  const weighed = weigh(preferOtherDomains(open, opts.avoidDomains));
  const chosen = byPrefix(weighed, opts) ?? byLoad(weighed, opts);
  return chosen?.candidate.target;
}

/** Pressure of each candidate; old reports fade towards the mean. */
function weigh(candidates: readonly Candidate[]): readonly Weighed[] {
  const reported = candidates.flatMap(({ load }) =>
    load ? [shareOf(load)] : []
  );
  const mean = average(reported);
  return candidates.map((candidate) => ({
    candidate,
    pressure: pressureOf(candidate, mean),
  }));
}

function pressureOf(candidate: Candidate, mean: number): number {
  const { load, loadAgeMs, outstanding, begunSince } = candidate;
  if (!load) return outstanding / UNREPORTED_LIMIT;
  const limit = Math.max(1, load.limit);
  const trust = 0.5 ** (loadAgeMs / REPORT_HALF_LIFE_MS);
  const faded = trust * shareOf(load) + (1 - trust) * mean;
  return Math.max(outstanding / limit, faded + begunSince / limit);
}

function shareOf({ running, queued, limit }: TargetLoad): number {
  return (running + queued) / Math.max(1, limit);
}

/**
 * First target in the prefix's order that its load allows. The order ignores
 * failure domains: a prefix computed again costs more than the way to another
 * domain, and a copy in each domain wastes the engines' memory.
 */
function byPrefix(
  weighed: readonly Weighed[],
  { prefix }: ChoiceOptions,
): Weighed | undefined {
  if (prefix === undefined) return undefined;
  const bound = Math.max(
    AFFINITY_PRESSURE,
    AFFINITY_RATIO * average(weighed.map(({ pressure }) => pressure)),
  );
  const ordered = rendezvousOrder(
    weighed.filter(({ candidate }) => candidate.weight === 1),
    { key: prefix, idOf: ({ candidate }) => candidate.target.id },
  );
  const ranked = [
    ...ordered.filter(({ candidate }) => candidate.holdsPrefix),
    ...ordered,
  ];
  return ranked.find(({ pressure }) => pressure < bound);
}

/** Better of two, at home while there is headroom. */
function byLoad(
  weighed: readonly Weighed[],
  { homeDomain, random }: ChoiceOptions,
): Weighed | undefined {
  const isHome = ({ candidate }: Weighed) =>
    candidate.target.domain === homeDomain;
  const home = betterOfTwo(weighed.filter(isHome), random);
  if (home && home.pressure < HOME_HEADROOM) return home;
  const away = betterOfTwo(weighed.filter((one) => !isHome(one)), random);
  if (!home || !away) return home ?? away;
  return away.pressure + CROSS_DOMAIN_COST < home.pressure ? away : home;
}

function betterOfTwo(
  weighed: readonly Weighed[],
  random: () => number,
): Weighed | undefined {
  const drawn = weighed.filter(({ candidate }) =>
    candidate.weight === 1 || random() < candidate.weight
  );
  const from = drawn.length > 0 ? drawn : weighed;
  const first = draw(from, random);
  const second = draw(from.filter((one) => one !== first), random);
  if (!first || !second) return first;
  return first.pressure <= second.pressure ? first : second;
}

function draw<T>(items: readonly T[], random: () => number): T | undefined {
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
