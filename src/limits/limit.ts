/**
 * Adaptive limit of the concurrent calls at one target.
 *
 * The limit starts at what a cold target bears. It grows on completions at
 * good latency while it is used, and only after the target has proven that it
 * left cold start. It falls at once on slow answers, on errors and on any sign
 * of cold start. Evidence expires: a target that was silent for a while gets
 * no more than a cold one would bear until it shows itself again.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Bounds of a limit. */
export interface LimitConfig {
  /** Concurrent calls that a cold target bears. */
  readonly coldLimit: number;
  /** Most concurrent calls ever allowed. */
  readonly maxLimit: number;
  /** Successes at the cold limit that prove a target warm without its report. */
  readonly provenAfter: number;
}

/** State of a limit. Times are monotonic, in milliseconds. */
export interface LimitState {
  readonly cfg: LimitConfig;
  readonly limit: number;
  readonly cold: boolean;
  /** True when it counts as cold only since it had no work for a moment. */
  readonly rested: boolean;
  /** True once an answer said that the target is cold: others say it too. */
  readonly marksCold: boolean;
  /** Successes since the last sign of cold start. */
  readonly successes: number;
  /** Below this limit each good completion adds one, above it each round. */
  readonly threshold: number;
  /** Good completions since the limit last grew. */
  readonly credit: number;
  readonly lastFallAt: number;
  readonly lastColdAt: number;
  /** Time of the last evidence that the target is warm. */
  readonly lastWarmAt: number;
  /** Time at which the target was last proven to have left cold start. */
  readonly provenAt: number;
  /** Time at which its last report of cold start was sampled. */
  readonly reportedColdAt: number;
}

/** Evidence about the target. */
export type LimitEvent =
  | {
    readonly kind: "success";
    /** Time at which the call was sent. */
    readonly startedAt: number;
    /** Latency over the usual latency of such calls; 1 when none is known. */
    readonly slowness: number;
    /** True when as many calls as the limit allows were in hand. */
    readonly used: boolean;
  }
  | {
    readonly kind: "failure";
    readonly startedAt: number;
    /** True when the target has to be taken for cold. */
    readonly cold: boolean;
  }
  /** The target was slow to begin its answer, by this multiple of the usual. */
  | {
    readonly kind: "slow";
    readonly startedAt: number;
    readonly slowness: number;
  }
  /** An answer in progress says whether the target is cold. */
  | {
    readonly kind: "sign";
    readonly startedAt: number;
    readonly cold: boolean;
  }
  /** The target's own load report, sampled at `sampledAt`. */
  | {
    readonly kind: "report";
    readonly sampledAt: number;
    readonly cold: boolean;
  }
  /** No call is in hand any more. */
  | { readonly kind: "idle" }
  | { readonly kind: "tick" };

/** Slowness up to which a completion counts as good. */
const GOOD_SLOWNESS = 2;
/** Slowness at which the limit falls. */
const BAD_SLOWNESS = 3;
const FALL_RATIO = 0.5;
/** Slowness of a first answer that a queue inside the target cannot explain. */
const JUMP_SLOWNESS = 40;
/** Part of the limit that is kept when the target begins to queue. */
const QUEUEING_RATIO = 0.9;
/** Age at which evidence of warmth expires, in milliseconds. */
export const EVIDENCE_MS = 5_000;
/** Time for which a report of cold start overrules successes, in ms. */
const REPORT_MS = 10_000;

/** Limit of a target of which nothing is known. */
export function createLimit(cfg: LimitConfig, now: number): LimitState {
  return {
    cfg,
    limit: cfg.coldLimit,
    cold: true,
    rested: false,
    marksCold: false,
    successes: 0,
    threshold: cfg.maxLimit,
    credit: 0,
    lastFallAt: now,
    lastColdAt: now,
    lastWarmAt: now,
    provenAt: Number.NEGATIVE_INFINITY,
    reportedColdAt: Number.NEGATIVE_INFINITY,
  };
}

/** Applies evidence and gives the next state. */
export function applyLimit(
  state: LimitState,
  event: LimitEvent,
  now: number,
): LimitState {
  const next = nextLimit(state, event, now);
  const { coldLimit, maxLimit } = next.cfg;
  invariant(
    next.limit >= Math.min(coldLimit, maxLimit) && next.limit <= maxLimit,
    "limit-in-bounds",
    () => `limit=${next.limit}`,
  );
  invariant(
    !next.cold || next.limit <= coldLimit,
    "cold-limit",
    () => `limit=${next.limit} cold=${coldLimit}`,
  );
  return next;
}

function nextLimit(
  state: LimitState,
  event: LimitEvent,
  now: number,
): LimitState {
  switch (event.kind) {
    case "success":
      return onSuccess(state, event, now);
    case "failure":
      return event.cold
        ? turnCold(state, now)
        : fall(state, event.startedAt, now);
    case "slow":
      return fall(
        state,
        event.startedAt,
        now,
        event.slowness < JUMP_SLOWNESS ? QUEUEING_RATIO : FALL_RATIO,
      );
    case "sign":
      if (event.cold) return { ...turnCold(state, now), marksCold: true };
      return event.startedAt < state.lastColdAt
        ? state
        : { ...state, lastWarmAt: now };
    case "report":
      return onReport(state, event, now);
    case "idle":
      return rest(state, now);
    case "tick":
      return expire(state, now);
  }
}

function onSuccess(
  state: LimitState,
  event: { startedAt: number; slowness: number; used: boolean },
  now: number,
): LimitState {
  // A call from before the last sign of cold start says nothing of the target now.
  if (event.startedAt < state.lastColdAt) return state;
  if (event.slowness >= BAD_SLOWNESS) return fall(state, event.startedAt, now);
  const seen = { ...state, successes: state.successes + 1, lastWarmAt: now };
  if (seen.cold) {
    // A target that reports itself cold is proven warm by its report only.
    const isReportedCold = now - state.reportedColdAt < REPORT_MS;
    return seen.successes >= state.cfg.provenAfter && !isReportedCold
      ? { ...seen, cold: false, rested: false, provenAt: now }
      : seen;
  }
  const good = event.slowness <= GOOD_SLOWNESS;
  return good && event.used ? grow(seen) : seen;
}

function grow(state: LimitState): LimitState {
  const credit = state.credit + 1;
  const needed = state.limit < state.threshold ? 1 : state.limit;
  if (credit < needed) return { ...state, credit };
  const limit = Math.min(state.cfg.maxLimit, state.limit + 1);
  return { ...state, limit, credit: 0 };
}

/** Lowers the limit once for each round of calls. */
function fall(
  state: LimitState,
  startedAt: number,
  now: number,
  ratio: number = FALL_RATIO,
): LimitState {
  if (startedAt < state.lastFallAt) return state;
  const limit = Math.max(
    Math.min(state.cfg.coldLimit, state.limit),
    Math.floor(state.limit * ratio),
  );
  return { ...state, limit, threshold: limit, credit: 0, lastFallAt: now };
}

/** Takes the target for cold since `at`. */
function turnCold(
  state: LimitState,
  now: number,
  at: number = now,
): LimitState {
  return {
    ...state,
    cold: true,
    rested: false,
    limit: Math.min(state.cfg.coldLimit, state.cfg.maxLimit),
    successes: 0,
    threshold: state.cfg.maxLimit,
    credit: 0,
    lastFallAt: now,
    lastColdAt: at,
  };
}

/** A report counts only when it was sampled after the last sign of cold start. */
function onReport(
  state: LimitState,
  event: { sampledAt: number; cold: boolean },
  now: number,
): LimitState {
  if (event.sampledAt <= state.lastColdAt) return state;
  const { sampledAt } = event;
  if (event.cold) {
    // The target was proven warm after this report was sampled.
    if (!state.cold && sampledAt < state.provenAt) return state;
    return {
      ...turnCold(state, now, sampledAt),
      reportedColdAt: sampledAt,
    };
  }
  return {
    ...state,
    cold: false,
    rested: false,
    lastWarmAt: Math.max(state.lastWarmAt, sampledAt),
    provenAt: Math.max(state.provenAt, sampledAt),
    reportedColdAt: Number.NEGATIVE_INFINITY,
  };
}

/**
 * A restart cuts the work in hand, and is seen by that. Without work in hand it
 * goes unseen, unless the target's answers tell of its cold start.
 */
function rest(state: LimitState, now: number): LimitState {
  if (state.marksCold) return state;
  const rested = !state.cold || state.rested;
  return { ...turnCold(state, now), rested };
}

function expire(state: LimitState, now: number): LimitState {
  if (state.cold || now - state.lastWarmAt < EVIDENCE_MS) return state;
  return turnCold(state, now, state.lastWarmAt);
}
