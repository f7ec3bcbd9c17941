/**
 * Adaptive limit on the concurrent calls at one target.
 *
 * The limit starts at what a cold target can sustain. It increases on
 * completions at good latency while the limit is reached, and only once there
 * is proof that the target has left cold start. It decreases at once on slow
 * responses, on errors and on any sign of cold start. Evidence expires: a
 * target without fresh evidence of warmth falls back to the cold limit until
 * it is proven warm again.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Configuration of a limit. */
export interface LimitConfig {
  /** Concurrent calls that a cold target can sustain. */
  readonly coldLimit: number;
  /** Upper bound of the limit. */
  readonly maxLimit: number;
  /**
   * Successes at the cold limit that prove a target warm without a load report.
   */
  readonly minSuccesses: number;
}

/** State of a limit. Times are monotonic, in milliseconds. */
export interface LimitState {
  readonly cfg: LimitConfig;
  readonly limit: number;
  readonly cold: boolean;
  /** True when the target is presumed cold only because it became idle. */
  readonly coldFromIdle: boolean;
  /**
   * True once a response has reported cold start, which shows that the target
   * marks the responses of a cold start.
   */
  readonly marksCold: boolean;
  /** Successes since the last sign of cold start. */
  readonly successes: number;
  /**
   * Below this limit each good completion raises the limit by one, from it on
   * each round of good completions does.
   */
  readonly slowStartThreshold: number;
  /** Good completions since the limit last changed. */
  readonly goodCompletions: number;
  readonly lastDecreaseAt: number;
  readonly lastColdAt: number;
  /** Time of the last evidence that the target is warm. */
  readonly lastWarmAt: number;
  /** Time at which the target was last proven to have left cold start. */
  readonly provenWarmAt: number;
  /** Time at which its last report of cold start was sampled. */
  readonly reportedColdAt: number;
}

/** Evidence about the target. */
export type LimitEvent =
  | {
    readonly kind: "success";
    /** Time at which the call was sent. */
    readonly startedAt: number;
    /** Latency divided by the usual latency of such calls; 1 if unknown. */
    readonly slowness: number;
    /** True when as many calls as the limit allows were in flight. */
    readonly limitReached: boolean;
  }
  | {
    readonly kind: "failure";
    readonly startedAt: number;
    /** True when the target has to be presumed cold. */
    readonly cold: boolean;
  }
  /** The first progress took `slowness` times the usual time. */
  | {
    readonly kind: "slow";
    readonly startedAt: number;
    readonly slowness: number;
  }
  /** A response in progress shows whether the target is cold. */
  | {
    readonly kind: "progress";
    readonly startedAt: number;
    readonly cold: boolean;
  }
  /** A load report of the target, sampled at `sampledAt`. */
  | {
    readonly kind: "report";
    readonly sampledAt: number;
    readonly cold: boolean;
  }
  /** No call is in flight any more. */
  | { readonly kind: "idle" }
  | { readonly kind: "tick" };

/** Slowness up to which a completion counts as good. */
const GOOD_SLOWNESS = 2;
/** Slowness from which a completion lowers the limit. */
const BAD_SLOWNESS = 3;
const DECREASE_RATIO = 0.5;
/** Slowness of first progress that a queue in the target cannot explain. */
const JUMP_SLOWNESS = 40;
/** Fraction of the limit kept when the target starts to queue calls. */
const QUEUEING_DECREASE_RATIO = 0.9;
/** Age at which evidence of warmth expires, in milliseconds. */
export const EVIDENCE_TTL_MS = 5_000;
/** Time for which a report of cold start overrides successes, in ms. */
const COLD_REPORT_TTL_MS = 10_000;

/** Returns the initial limit of a target without evidence. */
export function createLimit(cfg: LimitConfig, now: number): LimitState {
  return {
    cfg,
    limit: cfg.coldLimit,
    cold: true,
    coldFromIdle: false,
    marksCold: false,
    successes: 0,
    slowStartThreshold: cfg.maxLimit,
    goodCompletions: 0,
    lastDecreaseAt: now,
    lastColdAt: now,
    lastWarmAt: now,
    provenWarmAt: Number.NEGATIVE_INFINITY,
    reportedColdAt: Number.NEGATIVE_INFINITY,
  };
}

/** Applies evidence and returns the next state. */
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
        ? presumeCold(state, now)
        : lower(state, event.startedAt, now);
    case "slow":
      return lower(
        state,
        event.startedAt,
        now,
        event.slowness < JUMP_SLOWNESS
          ? QUEUEING_DECREASE_RATIO
          : DECREASE_RATIO,
      );
    case "progress":
      if (event.cold) return { ...presumeCold(state, now), marksCold: true };
      return event.startedAt < state.lastColdAt
        ? state
        : { ...state, lastWarmAt: now };
    case "report":
      return onReport(state, event, now);
    case "idle":
      return onIdle(state, now);
    case "tick":
      return expireEvidence(state, now);
  }
}

function onSuccess(
  state: LimitState,
  event: { startedAt: number; slowness: number; limitReached: boolean },
  now: number,
): LimitState {
  // A call sent before the last sign of cold start is outdated evidence.
  if (event.startedAt < state.lastColdAt) return state;
  if (event.slowness >= BAD_SLOWNESS) return lower(state, event.startedAt, now);
  const counted = { ...state, successes: state.successes + 1, lastWarmAt: now };
  if (counted.cold) {
    // Only a report proves a target warm that has reported itself cold.
    const isReportedCold = now - state.reportedColdAt < COLD_REPORT_TTL_MS;
    return counted.successes >= state.cfg.minSuccesses && !isReportedCold
      ? { ...counted, cold: false, coldFromIdle: false, provenWarmAt: now }
      : counted;
  }
  const isGood = event.slowness <= GOOD_SLOWNESS;
  return isGood && event.limitReached ? raise(counted) : counted;
}

function raise(state: LimitState): LimitState {
  const goodCompletions = state.goodCompletions + 1;
  const needed = state.limit < state.slowStartThreshold ? 1 : state.limit;
  if (goodCompletions < needed) return { ...state, goodCompletions };
  const limit = Math.min(state.cfg.maxLimit, state.limit + 1);
  return { ...state, limit, goodCompletions: 0 };
}

/** Lowers the limit at most once per round of calls. */
function lower(
  state: LimitState,
  startedAt: number,
  now: number,
  ratio: number = DECREASE_RATIO,
): LimitState {
  if (startedAt < state.lastDecreaseAt) return state;
  const limit = Math.max(
    Math.min(state.cfg.coldLimit, state.limit),
    Math.floor(state.limit * ratio),
  );
  return {
    ...state,
    limit,
    slowStartThreshold: limit,
    goodCompletions: 0,
    lastDecreaseAt: now,
  };
}

/** Presumes the target cold since `at`. */
function presumeCold(
  state: LimitState,
  now: number,
  at: number = now,
): LimitState {
  return {
    ...state,
    cold: true,
    coldFromIdle: false,
    limit: Math.min(state.cfg.coldLimit, state.cfg.maxLimit),
    successes: 0,
    slowStartThreshold: state.cfg.maxLimit,
    goodCompletions: 0,
    lastDecreaseAt: now,
    lastColdAt: at,
  };
}

/**
 * Applies a load report. A report that was sampled no later than the last sign
 * of cold start is ignored.
 */
function onReport(
  state: LimitState,
  event: { sampledAt: number; cold: boolean },
  now: number,
): LimitState {
  if (event.sampledAt <= state.lastColdAt) return state;
  const { sampledAt } = event;
  if (event.cold) {
    // The target was proven warm after this report was sampled.
    if (!state.cold && sampledAt < state.provenWarmAt) return state;
    return {
      ...presumeCold(state, now, sampledAt),
      reportedColdAt: sampledAt,
    };
  }
  return {
    ...state,
    cold: false,
    coldFromIdle: false,
    lastWarmAt: Math.max(state.lastWarmAt, sampledAt),
    provenWarmAt: Math.max(state.provenWarmAt, sampledAt),
    reportedColdAt: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Presumes an idle target cold unless its responses report cold start. A
 * restart is detected by the calls in flight that it breaks, and would go
 * undetected without any.
 */
function onIdle(state: LimitState, now: number): LimitState {
  if (state.marksCold) return state;
  const coldFromIdle = !state.cold || state.coldFromIdle;
  return { ...presumeCold(state, now), coldFromIdle };
}

function expireEvidence(state: LimitState, now: number): LimitState {
  if (state.cold || now - state.lastWarmAt < EVIDENCE_TTL_MS) return state;
  return presumeCold(state, now, state.lastWarmAt);
}
