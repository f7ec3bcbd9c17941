/**
 * Bound on the requests that one process sends to a build that is not proven:
 * a credit that grows with its requests to the pool.
 *
 * @module
 */

/** Bounds on the requests to a bad build, of all processes together. */
export interface ExposureBounds {
  /** Share of the requests that reach the pool. */
  readonly share: number;
  /** Requests beyond that share. */
  readonly allowance: number;
}

/**
 * Part of the share that is used. The rest is for the shift, in which a build
 * that turns bad late gets all requests until it is found out.
 */
export const SHARE_USED = 0.75;
/**
 * Part of the allowance that is used at once; the rest covers processes that
 * know of fewer others, and resumed streams.
 */
const ALLOWANCE_USED = 0.6;
/** Part of the allowance that resumed streams may use without credit. */
const ALLOWANCE_RESUMED = 0.2;

/** Credit of one process, in requests. Immutable. */
export class ExposureCredit {
  readonly #bounds: ExposureBounds;
  readonly #processes: number;
  /** Requests to the pool less those to the build that they allow. */
  readonly #earned: number;

  private constructor(
    bounds: ExposureBounds,
    processes: number,
    earned: number,
  ) {
    this.#bounds = bounds;
    this.#processes = processes;
    this.#earned = earned;
  }

  /**
   * Returns the credit at the beginning of an order. A process that has joined
   * later has no part of the allowance, which others may have used.
   */
  static begin(
    { share, allowance }: ExposureBounds,
    { processes, hasJoinedLater }: {
      readonly processes: number;
      readonly hasJoinedLater: boolean;
    },
  ): ExposureCredit {
    const bounds = { share, allowance: hasJoinedLater ? 0 : allowance };
    return new ExposureCredit(bounds, Math.max(1, processes), 0);
  }

  /** Returns the credit when at least this many processes share the allowance. */
  among(processes: number): ExposureCredit {
    return processes <= this.#processes
      ? this
      : new ExposureCredit(this.#bounds, processes, this.#earned);
  }

  /** Part of the allowance of this process. */
  get #part(): number {
    return this.#bounds.allowance / this.#processes;
  }

  get #credit(): number {
    return this.#earned + ALLOWANCE_USED * this.#part;
  }

  /**
   * True when a request may be sent to the build at a random threshold between 0
   * and 1. With whole credits hundreds of processes would leave half a credit
   * each unused, and use the others all at once. Rounding at random uses all of
   * them on the average; its error is a fraction of the root of the number of
   * processes, for which the unused parts leave room.
   */
  hasReached(threshold: number): boolean {
    return this.#credit > 0 && this.#credit >= threshold;
  }

  /** Whole requests that may be sent to the build. */
  get whole(): number {
    return Math.max(0, Math.floor(this.#credit));
  }

  /** True when a resumed stream may go on at the build. */
  get mayResume(): boolean {
    return this.#credit + ALLOWANCE_RESUMED * this.#part >= 1;
  }

  /** Returns the credit after requests to the pool. */
  earn(requests: number): ExposureCredit {
    return this.#with(SHARE_USED * this.#bounds.share * requests);
  }

  /** Returns the credit after requests to the build. */
  spend(requests: number): ExposureCredit {
    return this.#with(-requests);
  }

  #with(added: number): ExposureCredit {
    return new ExposureCredit(
      this.#bounds,
      this.#processes,
      this.#earned + added,
    );
  }
}
