/**
 * Expected time to the first event of a request at each target that could serve
 * it. Placement uses it, and so does what explains a placement.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";
import type { ServingCandidate, TargetLoad } from "./choice.ts";
import { delayMs, type PoolProfile, serviceMsOf } from "./pool_profile.ts";
import { memoryTokens, type RequestWork } from "./request_work.ts";
import type { PaceFactor } from "./target_pace.ts";

/** What a target can do now, as far as this process knows. */
export interface TargetCapacity {
  /** Newest report; undefined before the first one. */
  readonly report?: {
    readonly running: number;
    readonly waiting: number;
    /** Time since it was received, in milliseconds. */
    readonly ageMs: number;
  };
  /** Requests running and waiting there, averaged over the reports. */
  readonly usualLoad: number;
  /** Requests in flight of this process that the report does not include. */
  readonly ownSinceReport: number;
  /** Prompt tokens of this process that the target has yet to read. */
  readonly ownUnreadTokens: number;
  /** Those of requests that the report does not include. */
  readonly ownUnreadSinceReport: number;
  /** Tokens of the target's memory that requests of this process occupy. */
  readonly ownMemoryTokens: number;
  /** Leading tokens of the request's prompt that this process sent there. */
  readonly sentTokens: number;
  readonly pace: PaceFactor;
}

/** Expected time of a request at one target, with its components. */
export interface ExpectedTime {
  /** Time to the first event, in milliseconds. */
  readonly expectedMs: number;
  /** The same at the nominal pace. */
  readonly nominalMs: number;
  /** Wait for a slot or for memory, at the nominal pace. */
  readonly waitMs: number;
  /** Time to read the prompts that come first, at the nominal pace. */
  readonly queueMs: number;
  /** Time to read the request's own prompt or to serve it, at that pace. */
  readonly serviceMs: number;
  /** Prompt tokens that are expected in the target's cache. */
  readonly cachedTokens: number;
  /** Prompt tokens that the target has to read. */
  readonly unreadTokens: number;
  /** Requests expected there, running and waiting. */
  readonly ahead: number;
  /**
   * What targets are compared by, in milliseconds: the expected time, the delay
   * of others by the reading of the prompt, and the risk of a failure.
   */
  readonly costMs: number;
}

/** Candidate with the expected time of a request there. */
export interface TimedCandidate {
  readonly candidate: ServingCandidate;
  readonly capacity: TargetCapacity;
  readonly expected: ExpectedTime;
}

/** What is estimated, besides the candidates. */
export interface EstimateOptions {
  readonly work: RequestWork;
  readonly profile: PoolProfile;
  /** Key of the prompt prefix. */
  readonly affinity?: string;
  /** True when this process has sent the prefix to some target before. */
  readonly isKnownPrefix?: boolean;
  /** Failure domain of this process. */
  readonly failureDomain: string;
}

/**
 * Prompt tokens that an engine reads in a millisecond. Engines read 57 to 82; the
 * learned pace of a target corrects the difference.
 */
const READ_TOKENS_PER_MS = 68;
/** Time of one step of an engine, and its growth with each request, in ms. */
const STEP_MS = 3.8;
const STEP_MS_PER_REQUEST = 0.085;
/**
 * Tokens that an engine's memory holds. It is that of the smallest engine, since
 * a prompt that does not fit waits or preempts others.
 */
const MEMORY_TOKENS = 460_000;
/** Shortest time constant with which a report loses its value, in ms. */
const MIN_REPORT_TTL_MS = 150;
/** The same as a multiple of the time for which requests occupy a slot. */
const REPORT_TTL_RESIDENCES = 1.5;
/** Time constant of the count of waiting requests, in milliseconds. */
const WAITING_TTL_MS = 600;
/**
 * Probability that the first target in the order of a prefix holds it, which all
 * processes prefer: of a prefix that this process has sent before, and of one
 * that it sees for the first time.
 */
const KNOWN_PREFIX_BELIEF = 0.95;
const NEW_PREFIX_BELIEF = 0.9;
/** Ratio of that probability from one target of the order to the next. */
const BELIEF_DECAY = 0.1;
/**
 * Delay of others as a multiple of the time to read a prompt: work that is added
 * to a busy queue delays all that come later. Lower values let engines read
 * shared prompts 5% to 15% more often, and higher ones give longer queues.
 */
const READ_DELAY_WEIGHT = 6;
/** Time that a call to another failure domain costs more, in milliseconds. */
const CROSS_DOMAIN_MS = 4;
/** Number of expected times that a failure costs. */
const FAILURE_WEIGHT = 2;

/** Nominal time of a step of an engine that runs `running` requests, in ms. */
export function stepMs(running: number): number {
  return STEP_MS + STEP_MS_PER_REQUEST * running;
}

/** Estimates the time of a request at the candidates with known capacity. */
export function expectedTimes(
  candidates: readonly ServingCandidate[],
  opts: EstimateOptions,
): readonly TimedCandidate[] {
  const held = homeTokens(candidates, opts);
  const meanLoad = mean(
    candidates.flatMap(({ load }) =>
      load.capacity?.report ? [load.capacity.usualLoad] : []
    ),
  );
  const estimated = candidates.flatMap((candidate) => {
    const { capacity } = candidate.load;
    if (!capacity) return [];
    const homeTokens = held.get(candidate) ?? 0;
    const estimate = estimateOne(candidate.load, capacity, {
      opts,
      homeTokens,
      meanLoad,
    });
    return [{ candidate, capacity, estimate }];
  });
  const meanMs = mean(estimated.map(({ estimate }) => estimate.expectedMs));
  const { failureDomain } = opts;
  return estimated.map(({ candidate, capacity, estimate }) => {
    const costMs = costOf(candidate, estimate, {
      capacity,
      meanMs,
      failureDomain,
    });
    return { candidate, capacity, expected: { ...estimate, costMs } };
  });
}

/** Tokens that each candidate holds by the order that all processes use. */
function homeTokens(
  candidates: readonly ServingCandidate[],
  { affinity, work, isKnownPrefix }: EstimateOptions,
): ReadonlyMap<ServingCandidate, number> {
  if (affinity === undefined) return new Map();
  const last = work.parts.findIndex(({ name }) => name === affinity);
  const shared = work.parts.slice(0, last + 1)
    .reduce((sum, { tokens }) => sum + tokens, 0);
  const belief = beliefIn({
    isKnownPrefix,
    isShared: last < work.parts.length - 1,
  });
  const order = rendezvousOrder(candidates, {
    key: affinity,
    idOf: ({ target }) => target.id,
  });
  return new Map(
    order.map((candidate, rank) => [
      candidate,
      shared * belief * BELIEF_DECAY ** rank,
    ]),
  );
}

/** The last segment of a prompt belongs to its request or session. */
function beliefIn(
  { isKnownPrefix = false, isShared }: {
    isKnownPrefix?: boolean;
    isShared: boolean;
  },
): number {
  if (isKnownPrefix) return KNOWN_PREFIX_BELIEF;
  return isShared ? NEW_PREFIX_BELIEF : 0;
}

function estimateOne(
  load: TargetLoad,
  capacity: TargetCapacity,
  { opts: { work, profile }, homeTokens, meanLoad }: {
    opts: EstimateOptions;
    homeTokens: number;
    meanLoad: number;
  },
): Omit<ExpectedTime, "costMs"> {
  const slots = Math.max(1, load.slots);
  const ahead = Math.max(
    load.own,
    capacity.ownSinceReport + reportedLoad(capacity, { profile, meanLoad }),
  );
  const cachedTokens = Math.min(
    work.promptTokens,
    Math.max(capacity.sentTokens, homeTokens),
  );
  const unreadTokens = work.promptTokens - cachedTokens;
  const hasTokens = work.promptTokens > 0;
  const ownServiceMs = hasTokens
    ? unreadTokens / READ_TOKENS_PER_MS + stepMs(Math.min(ahead, slots))
    : serviceMsOf(profile, work.route);
  const residenceMs = profile.residenceMs || ownServiceMs;
  const slotWaitMs = overflow(ahead - slots + 1, ahead) / slots * residenceMs;
  const waitMs = hasTokens
    ? Math.max(
      slotWaitMs,
      memoryWait(ahead, residenceMs, { capacity, work, profile }),
    )
    : slotWaitMs;
  const queueMs = hasTokens
    ? Math.max(
      queuedTokens(capacity, profile) / READ_TOKENS_PER_MS,
      delayMs(profile, ahead),
    )
    : 0;
  const nominalMs = waitMs + queueMs + ownServiceMs;
  const { usual, slowdown } = capacity.pace;
  return {
    expectedMs: nominalMs * usual * slowdown,
    nominalMs,
    waitMs,
    queueMs,
    serviceMs: ownServiceMs,
    cachedTokens,
    unreadTokens,
    ahead,
  };
}

/** Reported load, which tends to the target's usual one as it grows old. */
function reportedLoad(
  { report, usualLoad }: TargetCapacity,
  { profile, meanLoad }: { profile: PoolProfile; meanLoad: number },
): number {
  if (!report) return meanLoad;
  const ttlMs = Math.max(
    MIN_REPORT_TTL_MS,
    REPORT_TTL_RESIDENCES * profile.residenceMs,
  );
  const weight = Math.exp(-report.ageMs / ttlMs);
  return usualLoad + weight * (report.running + report.waiting - usualLoad);
}

/** Prompt tokens that the target reads before those of the request. */
function queuedTokens(
  { report, ownUnreadTokens, ownUnreadSinceReport }: TargetCapacity,
  { unreadTokens }: PoolProfile,
): number {
  const waiting = report
    ? report.waiting * Math.exp(-report.ageMs / WAITING_TTL_MS)
    : 0;
  return Math.max(
    ownUnreadTokens,
    ownUnreadSinceReport + waiting * unreadTokens,
  );
}

/** Time until the request fits into the memory beside the others, in ms. */
function memoryWait(
  ahead: number,
  residenceMs: number,
  { capacity, work, profile }: {
    capacity: TargetCapacity;
    work: RequestWork;
    profile: PoolProfile;
  },
): number {
  const used = Math.max(
    capacity.ownMemoryTokens,
    ahead * profile.heldTokens,
  );
  const lacking = used + memoryTokens(work) - MEMORY_TOKENS;
  return lacking <= 0 || used === 0
    ? 0
    : Math.min(1, lacking / used) * residenceMs;
}

/**
 * Expected excess of a count of requests whose mean exceeds the slots by
 * `excess`. The count varies with its root, so that a target with few free
 * slots may already have none.
 */
function overflow(excess: number, count: number): number {
  const width = 0.5 * Math.sqrt(Math.max(1, count));
  return excess > 10 * width
    ? excess
    : width * Math.log1p(Math.exp(excess / width));
}

function costOf(
  { load, target }: ServingCandidate,
  { expectedMs, unreadTokens }: Omit<ExpectedTime, "costMs">,
  { capacity, meanMs, failureDomain }: {
    capacity: TargetCapacity;
    meanMs: number;
    failureDomain: string;
  },
): number {
  const { usual, slowdown } = capacity.pace;
  const readMs = unreadTokens / READ_TOKENS_PER_MS * usual * slowdown;
  const domainMs = target.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_MS;
  const failureMs = FAILURE_WEIGHT * load.failureShare * meanMs;
  return (expectedMs + READ_DELAY_WEIGHT * readMs + domainMs + failureMs) /
    load.weight;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) /
    Math.max(1, values.length);
}
