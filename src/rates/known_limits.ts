/**
 * Limits on requests a second that targets have named.
 *
 * @module
 */

/** Limit of one target, or the end of one. */
export interface TargetLimit {
  /** Requests a second from all entries together; undefined: no limit. */
  readonly perS?: number;
  /** Monotonic time of the answer that showed it. */
  readonly at: number;
}

/** Time for which a limit holds without an answer that names it, in ms. */
export const LIMIT_TTL_MS = 30_000;
/** Longest such time, for limits below one request in that time, in ms. */
const MAX_TTL_MS = 300_000;
/** Requests at the limit that fit into the time for which it holds. */
const TTL_REQUESTS = 3;
/** Time after which an unchanged limit is news again, in milliseconds. */
const RENEWAL_MS = 10_000;
/** Maximum number of targets; those heard of least recently are discarded. */
const MAX_TARGETS = 4_096;
const MS_PER_S = 1_000;

/** Limits by target. Immutable. */
export class KnownLimits {
  readonly #limits: ReadonlyMap<string, TargetLimit>;

  constructor(limits: ReadonlyMap<string, TargetLimit> = new Map()) {
    this.#limits = limits;
  }

  /** Requests a second that a target takes; undefined without a limit. */
  perSOf(target: string, now: number): number | undefined {
    const limit = this.#limits.get(target);
    return limit && now < limit.at + ttlMsOf(limit) ? limit.perS : undefined;
  }

  get(target: string): TargetLimit | undefined {
    return this.#limits.get(target);
  }

  /** Targets with a limit. */
  limited(now: number): readonly string[] {
    return [...this.#limits.keys()]
      .filter((target) => this.perSOf(target, now) !== undefined);
  }

  /** Returns these limits with that of a target, unless a newer one is known. */
  with(target: string, limit: TargetLimit): KnownLimits {
    const known = this.#limits.get(target);
    if (known && known.at >= limit.at) return this;
    const limits = new Map(this.#limits);
    limits.delete(target);
    limits.set(target, limit);
    const surplus = [...limits.keys()]
      .slice(0, Math.max(0, limits.size - MAX_TARGETS));
    surplus.forEach((one) => limits.delete(one));
    return new KnownLimits(limits);
  }

  /** True when peers have to be told of a limit. */
  isNews(target: string, { perS, at }: TargetLimit): boolean {
    const known = this.#limits.get(target);
    if (!known) return perS !== undefined;
    const isRenewed = perS !== undefined && at > known.at + RENEWAL_MS;
    return at > known.at && (perS !== known.perS || isRenewed);
  }
}

/** A slow limit holds until some requests at it could have been answered. */
function ttlMsOf({ perS }: TargetLimit): number {
  if (!perS) return LIMIT_TTL_MS;
  const ms = TTL_REQUESTS / perS * MS_PER_S;
  return Math.min(MAX_TTL_MS, Math.max(LIMIT_TTL_MS, ms));
}
