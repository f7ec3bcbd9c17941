/**
 * Pace of a target: how its times compare with the nominal ones, learned from
 * its responses and from the slowdown that it reports.
 *
 * Two estimates run side by side, one that uses the reported slowdown and one
 * that relies on measured times alone. The one whose predictions have been
 * closer is used, so that a report which is wrong does no lasting harm. A
 * report with a constant error is corrected by the learned factor.
 *
 * @module
 */

/** Ratio of times that was observed at a point in time. */
interface ObservedRatio {
  readonly ratio: number;
  readonly at: number;
}

/** Learned ratio of a target's times to the nominal ones. */
interface LearnedFactor {
  /** Natural logarithm of the ratio. */
  readonly log: number;
  /** Mean absolute error of the predictions, as a logarithm. */
  readonly error: number;
}

/** Pace of one target. Immutable. */
export interface TargetPace {
  /** Number of measured times. */
  readonly samples: number;
  /** Mass of the samples that the learned factors rest on, up to a bound. */
  readonly mass: number;
  readonly withReport: LearnedFactor;
  readonly measuredOnly: LearnedFactor;
  /** Newest reported slowdown. */
  readonly reported?: ObservedRatio;
  /** Slowdown that the newest measured time shows. */
  readonly measured?: ObservedRatio;
}

/** Mean absolute errors of the predictions in a pool, as logarithms. */
export interface PaceErrors {
  /** Number of measured times, up to a bound. */
  readonly samples: number;
  readonly withReport: number;
  readonly measuredOnly: number;
}

/** Errors in a pool without measured times. */
export const NO_PACE_ERRORS: PaceErrors = {
  samples: 0,
  withReport: 0,
  measuredOnly: 0,
};

/** Multiple of the nominal time that a request is expected to take. */
export interface PaceFactor {
  /** Lasting ratio of the target's times to the nominal ones. */
  readonly usual: number;
  /** Present slowdown in addition. */
  readonly slowdown: number;
  /** Age of what the slowdown rests on, in milliseconds. */
  readonly slowdownAgeMs?: number;
  /** False when measured times alone are used, as the report was wrong. */
  readonly isReportUsed: boolean;
}

/** Both predictions for a request, made when it was sent. */
export interface PacePrediction {
  /** Expected time at the nominal pace, in milliseconds. */
  readonly nominalMs: number;
  readonly withReportMs: number;
  readonly measuredOnlyMs: number;
  /** Reported slowdown at that time. */
  readonly reportedSlowdown: number;
}

/**
 * Time constant with which an observed slowdown is forgotten, in milliseconds:
 * the mean length of the slow periods of hosts that targets share.
 */
const SLOWDOWN_TTL_MS = 600;
/** Largest mass of the samples in the learned factor, which bounds its age. */
const MAX_MASS = 10;
/**
 * Mass of the assumption that a target is as fast as usual: a few measured
 * times, which queues distort, do not make it a slow one.
 */
const PRIOR_MASS = 10;
/**
 * Mass of the events of one stream, which prompts that the target reads
 * meanwhile slow down as well.
 */
const EVENTS_MASS = 0.5;
/** Weight of a new sample in the mean error. */
const ERROR_SMOOTHING = 0.15;
/** Weight of a new sample in the mean error in a pool. */
const POOL_ERROR_SMOOTHING = 0.05;
/** Samples in a pool after which the errors decide on the use of reports. */
const MIN_SAMPLES = 8;
/**
 * Number of a target's samples that the mean error in its pool counts as: if
 * the reports of a pool are wrong, few samples of each target show it.
 */
const POOL_ERROR_SAMPLES = 6;
/** Margin by which measured times have to predict better, as a logarithm. */
const ERROR_MARGIN = 0.05;
/** Largest deviation of one sample from the nominal time, as a ratio. */
const MAX_RATIO = 8;
/**
 * Nominal time from which a sample has its full weight, in milliseconds:
 * connection and processing dominate shorter ones.
 */
const FULL_WEIGHT_MS = 40;
/** Share of a measured slowdown that one sample may be noise of queueing. */
const MEASURED_TRUST = 0.6;

/** Pace of a target of which nothing is known. */
export const NOMINAL_PACE: TargetPace = {
  samples: 0,
  mass: 0,
  withReport: { log: 0, error: 0 },
  measuredOnly: { log: 0, error: 0 },
};

/** Returns the pace after a report of the target's slowdown. */
export function withSlowdown(
  pace: TargetPace,
  slowdown: number,
  now: number,
): TargetPace {
  return { ...pace, reported: { ratio: slowdown, at: now } };
}

/** Returns the factor of a target's times at monotonic time `now`. */
export function paceFactor(
  pace: TargetPace,
  now: number,
  errors: PaceErrors = NO_PACE_ERRORS,
): PaceFactor {
  const isReportUsed = pace.reported !== undefined &&
    isReportBetter(pace, errors);
  return isReportUsed
    ? {
      usual: Math.exp(pace.withReport.log),
      slowdown: faded(pace.reported, now),
      slowdownAgeMs: ageOf(pace.reported, now),
      isReportUsed,
    }
    : {
      usual: Math.exp(pace.measuredOnly.log),
      slowdown: faded(pace.measured, now),
      slowdownAgeMs: ageOf(pace.measured, now),
      isReportUsed,
    };
}

/** Returns the errors in a pool after a request took `ms`. */
export function withPaceError(
  errors: PaceErrors,
  prediction: PacePrediction,
  ms: number,
): PaceErrors {
  const samples = Math.min(errors.samples + 1, 1 / POOL_ERROR_SMOOTHING);
  const moved = (before: number, expectedMs: number) =>
    before + (errorOf(ms, expectedMs) - before) / samples;
  return {
    samples,
    withReport: moved(errors.withReport, prediction.withReportMs),
    measuredOnly: moved(errors.measuredOnly, prediction.measuredOnlyMs),
  };
}

/** Returns what the pace predicts for a request that is sent now. */
export function predictPace(
  pace: TargetPace,
  nominalMs: number,
  now: number,
): PacePrediction {
  const reportedSlowdown = faded(pace.reported, now);
  return {
    nominalMs,
    reportedSlowdown,
    withReportMs: nominalMs * Math.exp(pace.withReport.log) * reportedSlowdown,
    measuredOnlyMs: nominalMs * Math.exp(pace.measuredOnly.log) *
      faded(pace.measured, now),
  };
}

/**
 * Returns the pace after a request took `ms`. `serviceShare` is the part of the
 * predicted time that was no wait: only that part tells of the target's speed.
 */
export function observePace(
  pace: TargetPace,
  prediction: PacePrediction,
  { ms, serviceShare, now }: {
    readonly ms: number;
    readonly serviceShare: number;
    readonly now: number;
  },
): TargetPace {
  const { nominalMs, reportedSlowdown } = prediction;
  const ratio = clampRatio(Math.max(ms, 1) / Math.max(nominalMs, 1));
  const trust = serviceShare * Math.min(1, nominalMs / FULL_WEIGHT_MS);
  const mass = Math.min(pace.mass + trust, MAX_MASS);
  const weight = trust / (mass + PRIOR_MASS);
  // The slowdown may have begun or ended while the request was served.
  const slowdown = Math.sqrt(reportedSlowdown * (pace.reported?.ratio ?? 1));
  const usual = Math.exp(pace.measuredOnly.log);
  return {
    ...pace,
    samples: pace.samples + 1,
    mass,
    withReport: learned(pace.withReport, {
      log: Math.log(ratio / slowdown),
      weight,
      error: errorOf(ms, prediction.withReportMs),
    }),
    measuredOnly: learned(pace.measuredOnly, {
      log: Math.log(ratio),
      weight,
      error: errorOf(ms, prediction.measuredOnlyMs),
    }),
    measured: {
      ratio: Math.max(1, 1 + MEASURED_TRUST * trust * (ratio / usual - 1)),
      at: now,
    },
  };
}

/**
 * Returns the pace after a stream whose events took `ratio` times as long as
 * those of the pool.
 */
export function observeEvents(pace: TargetPace, ratio: number): TargetPace {
  const log = Math.log(clampRatio(ratio));
  const mass = Math.min(pace.mass + EVENTS_MASS, MAX_MASS);
  const weight = EVENTS_MASS / (mass + PRIOR_MASS);
  const moved = (factor: LearnedFactor) => ({
    ...factor,
    log: factor.log + weight * (log - factor.log),
  });
  return {
    ...pace,
    mass,
    withReport: moved(pace.withReport),
    measuredOnly: moved(pace.measuredOnly),
  };
}

function learned(
  before: LearnedFactor,
  sample: { log: number; weight: number; error: number },
): LearnedFactor {
  return {
    log: before.log + sample.weight * (sample.log - before.log),
    error: before.error + ERROR_SMOOTHING * (sample.error - before.error),
  };
}

function isReportBetter(pace: TargetPace, errors: PaceErrors): boolean {
  if (errors.samples < MIN_SAMPLES) return true;
  const share = pace.samples / (pace.samples + POOL_ERROR_SAMPLES);
  const mixed = (own: number, ofPool: number) =>
    share * own + (1 - share) * ofPool;
  return mixed(pace.withReport.error, errors.withReport) <=
    mixed(pace.measuredOnly.error, errors.measuredOnly) + ERROR_MARGIN;
}

/** Returns an observed slowdown, which fades to 1 with its age. */
function faded(observed: ObservedRatio | undefined, now: number): number {
  if (!observed) return 1;
  const rest = Math.exp(-(now - observed.at) / SLOWDOWN_TTL_MS);
  return 1 + (observed.ratio - 1) * rest;
}

function ageOf(
  observed: ObservedRatio | undefined,
  now: number,
): number | undefined {
  return observed && now - observed.at;
}

function errorOf(ms: number, expectedMs: number): number {
  return Math.abs(
    Math.log(clampRatio(Math.max(ms, 1) / Math.max(expectedMs, 1))),
  );
}

function clampRatio(ratio: number): number {
  return Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
}
