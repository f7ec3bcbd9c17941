/**
 * What an owner of a pool of batched stages knows of its targets: which are
 * free, and how fast each works compared with the pool's figures.
 *
 * @module
 */

import type { BatchLimits } from "./catalog.ts";

/** Load and speed of one target. Times are monotonic milliseconds. */
export interface StageServer {
  readonly id: string;
  /** Calls that were sent and are not answered. */
  readonly calls: number;
  /** Mean time of a call as a multiple of the expected time. */
  readonly slowness: number;
  /** Gets no call before this time, after a failure. */
  readonly restsUntil: number;
  /** Failures since the last answer. */
  readonly failures: number;
  /** Time at which the newest call should end. */
  readonly freeAt: number;
}

/** Gain of the moving mean of slowness. */
const SLOWNESS_GAIN = 0.5;
/** First pause after a failure, in milliseconds; doubled by each further one. */
const REST_MS = 400;
/** Longest pause after failures, in milliseconds. */
const MAX_REST_MS = 3_200;
/** Multiple of the fastest target's slowness at which one is passed over. */
const PASS_OVER_RATIO = 2;
/** Time after which a slow target is tried again, in milliseconds. */
const SLOW_REST_MS = 3_000;

/** Time in which a target that rests counts as there again, in milliseconds. */
const SOON_MS = 500;

/** Expected time of a call with `pieces` pieces, in milliseconds. */
export function expectedCallMs(limits: BatchLimits, pieces: number): number {
  return limits.callMs + limits.pieceMs * pieces;
}

/** Targets of one pool. Immutable. */
export class StageServers {
  readonly #servers: ReadonlyMap<string, StageServer>;

  constructor(servers: ReadonlyMap<string, StageServer> = new Map()) {
    this.#servers = servers;
  }

  /** Keeps just the targets with these identifiers. */
  members(ids: readonly string[]): StageServers {
    const isSame = ids.length === this.#servers.size &&
      ids.every((id) => this.#servers.has(id));
    if (isSame) return this;
    return new StageServers(
      new Map(ids.map((id) => [id, this.#servers.get(id) ?? fresh(id)])),
    );
  }

  /** Identifiers of the targets. */
  get ids(): readonly string[] {
    return [...this.#servers.keys()];
  }

  get(id: string): StageServer | undefined {
    return this.#servers.get(id);
  }

  /** Free targets, those that are expected to be the fastest first. */
  free(limits: BatchLimits, now: number): readonly StageServer[] {
    return this.#awake(now)
      .filter(({ calls }) => calls < limits.slots)
      .sort((a, b) => a.slowness - b.slowness || a.freeAt - b.freeAt);
  }

  /** Targets that take calls. */
  awake(now: number): readonly StageServer[] {
    return this.#awake(now);
  }

  /**
   * Work of the targets that take calls, in usual targets. While all rest,
   * those count that will soon take calls again.
   */
  capacity(now: number): number {
    const awake = this.#awake(now);
    const counted = awake.length > 0 ? awake : this.#awake(now + SOON_MS);
    return counted
      .reduce((sum, { slowness }) => sum + 1 / Math.max(1, slowness), 0);
  }

  /** Number of targets that take calls at `now`. */
  countAwake(now: number): number {
    return this.#awake(now).length;
  }

  /** State after a call with `pieces` pieces was sent. */
  sent(
    id: string,
    limits: BatchLimits,
    pieces: number,
    now: number,
  ): StageServers {
    return this.#with(id, (one) => ({
      ...one,
      calls: one.calls + 1,
      freeAt: now + one.slowness * expectedCallMs(limits, pieces),
    }));
  }

  /** True when a target has to show that it works as the others do. */
  isOnTrial(id: string): boolean {
    const one = this.#servers.get(id);
    if (!one) return false;
    return one.failures > 0 ||
      one.slowness > PASS_OVER_RATIO * this.#fastest();
  }

  /** State after a call ended; `ratio` is its time by the expected time. */
  answered(id: string, ratio: number, now: number): StageServers {
    return this.#with(id, (one) => {
      // A target that was passed over is back with its first usual call.
      const gain = this.isOnTrial(id) ? 1 : SLOWNESS_GAIN;
      const slowness = one.slowness + gain * (ratio - one.slowness);
      const isSlow = slowness > PASS_OVER_RATIO * this.#fastest();
      return {
        ...one,
        calls: Math.max(0, one.calls - 1),
        failures: 0,
        slowness,
        restsUntil: isSlow ? now + SLOW_REST_MS : one.restsUntil,
        freeAt: now,
      };
    });
  }

  /** State after a call ended that tells nothing of the target's speed. */
  ended(id: string, now: number): StageServers {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      freeAt: now,
    }));
  }

  /** State after a call failed or took too long. */
  failed(id: string, now: number): StageServers {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      failures: one.failures + 1,
      restsUntil: now + Math.min(MAX_REST_MS, REST_MS * 2 ** one.failures),
      freeAt: now,
    }));
  }

  /** State after a target refused a call since it is full. */
  full(id: string, now: number, waitMs: number): StageServers {
    return this.#with(id, (one) => ({
      ...one,
      calls: Math.max(0, one.calls - 1),
      restsUntil: now + waitMs,
    }));
  }

  /** State in which a target gets no call for `waitMs` milliseconds. */
  rest(id: string, now: number, waitMs: number): StageServers {
    return this.#with(id, (one) => ({ ...one, restsUntil: now + waitMs }));
  }

  /** Time until the next target is free or awake, in milliseconds. */
  nextFreeMs(now: number): number {
    const times = [...this.#servers.values()]
      .map(({ freeAt, restsUntil, calls }) =>
        Math.max(calls > 0 ? freeAt : now, restsUntil) - now
      );
    return Math.max(0, Math.min(...times));
  }

  #awake(now: number): readonly StageServer[] {
    return [...this.#servers.values()]
      .filter(({ restsUntil }) => restsUntil <= now);
  }

  #fastest(): number {
    return Math.min(
      ...[...this.#servers.values()].map(({ slowness }) => slowness),
    );
  }

  #with(
    id: string,
    change: (one: StageServer) => StageServer,
  ): StageServers {
    const one = this.#servers.get(id);
    if (!one) return this;
    return new StageServers(new Map(this.#servers).set(id, change(one)));
  }
}

function fresh(id: string): StageServer {
  return { id, calls: 0, slowness: 1, restsUntil: 0, failures: 0, freeAt: 0 };
}
