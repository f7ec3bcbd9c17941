/**
 * Load and speed of the targets of a batched pool, as its owner observes them:
 * which targets are free, and how the time of their calls compares with the
 * expected one.
 *
 * @module
 */

import type { BatchLimits } from "./catalog.ts";
import type { ForecastTarget } from "./queue_forecast.ts";

/** Load and speed of one target. Times are monotonic milliseconds. */
export interface StageTarget {
  readonly id: string;
  /** Calls in flight. */
  readonly calls: number;
  /** Moving average of call times, as a multiple of the expected time. */
  readonly slowness: number;
  /** Time before which it gets no call because it failed, is slow or full. */
  readonly pausedUntil: number;
  /** Failures since the last successful call. */
  readonly failures: number;
  /** Time at which the newest call is expected to end. */
  readonly freeAt: number;
}

/** Smoothing factor of the moving average of slowness. */
const SLOWNESS_SMOOTHING = 0.5;
/** Pause after a failure, in milliseconds; doubled by each further one. */
const FAILURE_PAUSE_MS = 400;
/** Longest pause after failures, in milliseconds. */
const MAX_FAILURE_PAUSE_MS = 3_200;
/** Multiple of the fastest target's slowness above which a target is slow. */
const SLOW_RATIO = 2;
/** Pause of a slow target before it is tried again, in milliseconds. */
const SLOW_PAUSE_MS = 3_000;

/** Remaining pause up to which a target counts while all are paused, in ms. */
const RESUME_WINDOW_MS = 500;

/** Returns the expected time of a call with `pieces` pieces, in ms. */
export function expectedCallMs(limits: BatchLimits, pieces: number): number {
  return limits.callMs + limits.pieceMs * pieces;
}

/** Observed state of the targets of one pool. Immutable. */
export class StageTargets {
  readonly #targets: ReadonlyMap<string, StageTarget>;

  constructor(targets: ReadonlyMap<string, StageTarget> = new Map()) {
    this.#targets = targets;
  }

  /** Returns the state for exactly the targets with these identifiers. */
  withMembers(ids: readonly string[]): StageTargets {
    const isSame = ids.length === this.#targets.size &&
      ids.every((id) => this.#targets.has(id));
    if (isSame) return this;
    return new StageTargets(
      new Map(ids.map((id) => [id, this.#targets.get(id) ?? initialState(id)])),
    );
  }

  /** Identifiers of the targets. */
  get ids(): readonly string[] {
    return [...this.#targets.keys()];
  }

  get(id: string): StageTarget | undefined {
    return this.#targets.get(id);
  }

  /** Returns the free targets, the fastest ones first. */
  free(limits: BatchLimits, now: number): readonly StageTarget[] {
    return this.#active(now)
      .filter(({ calls }) => calls < limits.slots)
      .sort((a, b) => a.slowness - b.slowness || a.freeAt - b.freeAt);
  }

  /** Returns the targets that are not paused. */
  active(now: number): readonly StageTarget[] {
    return this.#active(now);
  }

  /**
   * Returns the capacity of the targets that are not paused, in targets of
   * expected speed. While all are paused, those that resume soon count.
   */
  capacity(now: number): number {
    const active = this.#active(now);
    const counted = active.length > 0
      ? active
      : this.#active(now + RESUME_WINDOW_MS);
    return counted
      .reduce((sum, { slowness }) => sum + 1 / Math.max(1, slowness), 0);
  }

  /**
   * Returns when each target takes its next call of `pieces` pieces; while all
   * are paused, those that resume soon count.
   */
  forecast(
    limits: BatchLimits,
    pieces: number,
    now: number,
  ): readonly ForecastTarget[] {
    const active = this.#active(now);
    const counted = active.length > 0
      ? active
      : this.#active(now + RESUME_WINDOW_MS);
    return counted.map(({ calls, freeAt, pausedUntil, slowness }) => ({
      freeInMs: Math.max(
        0,
        calls >= limits.slots ? freeAt - now : 0,
        pausedUntil - now,
      ),
      callMs: slowness * expectedCallMs(limits, pieces) / limits.slots,
    }));
  }

  /** Returns the number of targets that are not paused. */
  countActive(now: number): number {
    return this.#active(now).length;
  }

  /** Returns the state after a call with `pieces` pieces was sent. */
  sent(
    id: string,
    limits: BatchLimits,
    pieces: number,
    now: number,
  ): StageTargets {
    return this.#with(id, (one) => ({
      ...one,
      calls: one.calls + 1,
      freeAt: now + one.slowness * expectedCallMs(limits, pieces),
    }));
  }

  /**
   * True while a target gets only trial calls, which have few pieces, because
   * it failed or is slow.
   */
  isOnTrial(id: string): boolean {
    const one = this.#targets.get(id);
    if (!one) return false;
    return one.failures > 0 ||
      one.slowness > SLOW_RATIO * this.#fastest();
  }

  /**
   * Returns the state after a successful call; `ratio` is its time divided by
   * the expected time.
   */
  answered(id: string, ratio: number, now: number): StageTargets {
    return this.#with(id, (one) => {
      // On trial the newest call replaces the average, so that the first one
      // of usual speed ends the trial.
      const smoothing = this.isOnTrial(id) ? 1 : SLOWNESS_SMOOTHING;
      const slowness = one.slowness + smoothing * (ratio - one.slowness);
      // Its own previous average is no reference: when all slow down at the
      // same time, that would pause all of them.
      const isSlow = slowness > SLOW_RATIO * this.#fastest(id);
      return {
        ...one,
        calls: Math.max(0, one.calls - 1),
        failures: 0,
        slowness,
        pausedUntil: isSlow ? now + SLOW_PAUSE_MS : one.pausedUntil,
        freeAt: now,
      };
    });
  }

  /** Returns the state after a call that is no sample of the speed. */
  ended(id: string, now: number): StageTargets {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      freeAt: now,
    }));
  }

  /** Returns the state after a call failed or took too long. */
  failed(id: string, now: number): StageTargets {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      failures: one.failures + 1,
      pausedUntil: now +
        Math.min(MAX_FAILURE_PAUSE_MS, FAILURE_PAUSE_MS * 2 ** one.failures),
      freeAt: now,
    }));
  }

  /** Returns the state after a target refused a call because it is full. */
  full(id: string, now: number, waitMs: number): StageTargets {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      pausedUntil: now + waitMs,
    }));
  }

  /** Returns the state in which a target is paused for `waitMs` ms or longer. */
  pause(id: string, now: number, waitMs: number): StageTargets {
    return this.#with(id, (one) => ({
      ...one,
      pausedUntil: Math.max(one.pausedUntil, now + waitMs),
    }));
  }

  /** Returns the time until a target is expected to accept a call, in ms. */
  nextFreeMs(now: number): number {
    const times = [...this.#targets.values()]
      .map(({ freeAt, pausedUntil, calls }) =>
        Math.max(calls > 0 ? freeAt : now, pausedUntil) - now
      );
    return Math.max(0, Math.min(...times));
  }

  #active(now: number): readonly StageTarget[] {
    return [...this.#targets.values()]
      .filter(({ pausedUntil }) => pausedUntil <= now);
  }

  /** Slowness of the fastest target other than `except`. */
  #fastest(except?: string): number {
    return Math.min(
      ...[...this.#targets.values()]
        .filter(({ id }) => id !== except)
        .map(({ slowness }) => slowness),
    );
  }

  #with(
    id: string,
    change: (one: StageTarget) => StageTarget,
  ): StageTargets {
    const one = this.#targets.get(id);
    if (!one) return this;
    return new StageTargets(new Map(this.#targets).set(id, change(one)));
  }
}

function initialState(id: string): StageTarget {
  return { id, calls: 0, slowness: 1, pausedUntil: 0, failures: 0, freeAt: 0 };
}
