/**
 * Usual requests of a pool, learned from those that this process has sent:
 * what the requests of other processes, of which a target reports only their
 * number, are assumed to need.
 *
 * @module
 */

/** Usual requests of one pool. Immutable. */
export interface PoolProfile {
  /** Time for which a request occupies a slot at the nominal pace, in ms. */
  readonly residenceMs: number;
  /** Prompt tokens that an engine has to read for a request. */
  readonly unreadTokens: number;
  /** Tokens of an engine's memory that a request occupies. */
  readonly heldTokens: number;
  /**
   * Delay of requests at targets by others, as a function of their number.
   * Reports do not tell how many of the running requests are still being read.
   */
  readonly delay: DelayModel;
  /** Time between events of a stream, as a multiple of the nominal step. */
  readonly eventRatio: number;
  /** Time to the first event without a wait, by route, in milliseconds. */
  readonly serviceMs: ReadonlyMap<string, number>;
}

/**
 * Linear regression of the delay of a request on the number of requests that
 * its target has. Older samples fade.
 */
export interface DelayModel {
  /** Number of samples, up to a bound. */
  readonly count: number;
  readonly meanAhead: number;
  readonly meanMs: number;
  readonly variance: number;
  readonly covariance: number;
}

/** Observation of one request. */
export type ProfileSample = Partial<
  Pick<
    PoolProfile,
    "residenceMs" | "unreadTokens" | "heldTokens" | "eventRatio"
  >
>;

/** Weight of a new sample. */
const SMOOTHING = 0.05;
/** The same for the time to the first event. */
const SERVICE_SMOOTHING = 0.1;
/** Time that is assumed before the first response, in milliseconds. */
const INITIAL_SERVICE_MS = 60;
/** Multiple of the mean to which a sample is capped. */
const MAX_RATIO = 4;
/** Variance that is added, so that few samples give no steep slope. */
const MIN_VARIANCE = 1;
/** Routes that are kept, which bounds the memory. */
const MAX_ROUTES = 256;

/** Profile of a pool of which no request was seen. */
export const INITIAL_PROFILE: PoolProfile = {
  residenceMs: 0,
  unreadTokens: 0,
  heldTokens: 0,
  eventRatio: 0,
  delay: {
    count: 0,
    meanAhead: 0,
    meanMs: 0,
    variance: 0,
    covariance: 0,
  },
  serviceMs: new Map(),
};

/** Time to the first event of a route's requests without a wait, in ms. */
export function serviceMsOf(profile: PoolProfile, route: string): number {
  return profile.serviceMs.get(route) ?? INITIAL_SERVICE_MS;
}

/** Returns the profile after one more request. */
export function withSample(
  profile: PoolProfile,
  sample: ProfileSample,
): PoolProfile {
  const mean = (key: keyof ProfileSample) =>
    moved(profile[key], sample[key], SMOOTHING);
  return {
    ...profile,
    residenceMs: mean("residenceMs"),
    unreadTokens: mean("unreadTokens"),
    heldTokens: mean("heldTokens"),
    eventRatio: mean("eventRatio"),
  };
}

/**
 * Returns the profile after a request that met `ahead` requests was delayed by
 * `ms`.
 */
export function withDelay(
  profile: PoolProfile,
  ahead: number,
  ms: number,
): PoolProfile {
  const { delay } = profile;
  const count = Math.min(delay.count + 1, 1 / SMOOTHING);
  const weight = 1 / count;
  const aheadError = ahead - delay.meanAhead;
  const msError = ms - delay.meanMs;
  const mixed = (before: number, sample: number) =>
    (1 - weight) * (before + weight * sample);
  return {
    ...profile,
    delay: {
      count,
      meanAhead: delay.meanAhead + weight * aheadError,
      meanMs: delay.meanMs + weight * msError,
      variance: mixed(delay.variance, aheadError ** 2),
      covariance: mixed(delay.covariance, aheadError * msError),
    },
  };
}

/** Expected delay of a request at a target with `ahead` requests, in ms. */
export function delayMs({ delay }: PoolProfile, ahead: number): number {
  const slope = delay.covariance > 0
    ? delay.covariance / (delay.variance + MIN_VARIANCE)
    : 0;
  return Math.max(0, delay.meanMs + slope * (ahead - delay.meanAhead));
}

/** Returns the profile after a measured time to a first event without wait. */
export function withServiceMs(
  profile: PoolProfile,
  route: string,
  ms: number,
): PoolProfile {
  const known = profile.serviceMs.get(route);
  if (known === undefined && profile.serviceMs.size >= MAX_ROUTES) {
    return profile;
  }
  const next = moved(known ?? 0, ms, SERVICE_SMOOTHING);
  return {
    ...profile,
    serviceMs: new Map(profile.serviceMs).set(route, next),
  };
}

/** Moving average; the first sample is taken as it is. */
function moved(
  before: number,
  sample: number | undefined,
  smoothing: number,
): number {
  if (sample === undefined) return before;
  if (before === 0) return sample;
  const capped = Math.min(sample, MAX_RATIO * before);
  return before + smoothing * (capped - before);
}
