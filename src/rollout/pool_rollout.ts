/**
 * One order as a process carries it out: which targets its requests may go to,
 * and what it has counted.
 *
 * @module
 */

import { rendezvousOrder } from "../routing/mod.ts";
import {
  type BuildHolder,
  type ListedRollout,
  type ListedTarget,
  RolloutPhase,
} from "../serving/mod.ts";
import { Evidence } from "./evidence.ts";
import { type ExposureCredit, SHARE_USED } from "./exposure.ts";
import { isFinal, laterPhase } from "./phases.ts";

/**
 * Parts of the order's time in which the requests to the new build go to the
 * same targets, and the bounds of such a part in milliseconds. The evidence has
 * to come from several targets, each under the load of an old one.
 */
const TURNS = 8;
const MIN_TURN_MS = 1_000;
const MAX_TURN_MS = 10_000;
/**
 * Part of each later turn that passes before credit is used, so that the targets
 * get their requests at no less than the usual load.
 */
const HELD_SHARE = 0.35;
/**
 * Part of a target by which the number of targets in turn may be too small for
 * the load of an old one each.
 */
const MAX_EXTRA_LOAD = 0.3;
/**
 * Least share of the requests that use credit in the first turn, also if the
 * build has far fewer targets than the others.
 */
const MIN_FIRST_SHARE = 0.3;
/**
 * Time before the deadline from which no new request goes to an old build during
 * the shift, in milliseconds: the old targets stop when it is over.
 */
const NO_FALLBACK_MS = 2_000;

/** Targets in groups; a later group is used when none of the earlier is open. */
export type TargetGroups = readonly (readonly ListedTarget[])[];

/** What is known of a request besides its pool. */
export interface RolloutRequest {
  /** Build that began the stream which the request resumes. */
  readonly sameBuildAs?: BuildHolder;
  /** True when an earlier attempt at another target has failed. */
  readonly isRetry?: boolean;
}

/** Order in force at this process. */
export class PoolRollout {
  #listed: ListedRollout;
  #phase: RolloutPhase = RolloutPhase.Observing;
  #hasOthers = false;
  readonly #contactMs: number;
  readonly #share: number;
  readonly #random: () => number;
  /** Credit at which the next request goes to the build. */
  #threshold: number;
  /** Credit in requests. */
  calls: ExposureCredit;
  /** Credit in pieces of stages, of which a call holds several. */
  pieces: ExposureCredit;
  evidence = new Evidence();
  /** True when the process's own counts show that the build is bad. */
  isStopped = false;
  /** Monotonic time of the last word from the decider. */
  heardAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which the shift was learnt. */
  shiftedAt = Number.POSITIVE_INFINITY;

  constructor(
    listed: ListedRollout,
    opts: {
      readonly credit: ExposureCredit;
      readonly contactMs: number;
      readonly share: number;
      readonly random?: () => number;
    },
  ) {
    this.#listed = listed;
    this.#contactMs = opts.contactMs;
    this.#share = opts.share;
    this.#random = opts.random ?? Math.random;
    this.#threshold = this.#random();
    this.calls = opts.credit;
    this.pieces = opts.credit;
  }

  get listed(): ListedRollout {
    return this.#listed;
  }

  get phase(): RolloutPhase {
    return this.#phase;
  }

  get to(): string {
    return this.#listed.order.to;
  }

  /** True for the same order, also after a restoration of the store. */
  isOf({ orderNumber, order }: ListedRollout): boolean {
    const own = this.#listed;
    return own.orderNumber === orderNumber && own.order.to === order.to &&
      own.order.durationMs === order.durationMs;
  }

  /** Updates what the store says; a final phase there overrides all others. */
  update(listed: ListedRollout, hasOthers: boolean, now: number): void {
    this.#listed = listed;
    this.#hasOthers ||= hasOthers;
    const phase = listed.verdict?.phase;
    if (phase === undefined) return;
    if (isFinal(phase)) this.#phase = phase;
    else this.adopt(phase, now);
  }

  /** Takes the credit for a call to the new build. */
  spend(pieces: number): void {
    this.calls = this.calls.spend(1);
    this.pieces = this.pieces.spend(pieces);
    this.#threshold = this.#random();
  }

  /** Adds the credit for a call that has reached a target of the pool. */
  earn(pieces: number): void {
    this.calls = this.calls.earn(1);
    this.pieces = this.pieces.earn(pieces);
  }

  /** Takes into account how many processes share the allowance. */
  shareAmong(processes: number): void {
    this.calls = this.calls.among(processes);
    this.pieces = this.pieces.among(processes);
  }

  /** Adopts a phase unless a later one is known; true when it is new. */
  adopt(phase: RolloutPhase, now: number): boolean {
    const next = laterPhase(this.#phase, phase);
    if (next === this.#phase) return false;
    this.#phase = next;
    if (next === RolloutPhase.Shifting) this.shiftedAt = now;
    return true;
  }

  isNew({ build }: BuildHolder): boolean {
    return build === this.to;
  }

  /** Time since the order, in milliseconds. */
  ageMs(now: number): number {
    return Math.max(0, now - this.#listed.startedAt);
  }

  /** Targets that a request may go to. */
  groups(
    targets: readonly ListedTarget[],
    request: RolloutRequest,
    now: number,
  ): TargetGroups {
    switch (this.#phase) {
      case RolloutPhase.Reverted:
        return [this.#others(targets)];
      case RolloutPhase.Completed:
        return [targets.filter((one) => !this.#hasLeft(one))];
      case RolloutPhase.Shifting:
        return this.#shiftingGroups(targets, request, now);
      case RolloutPhase.Observing:
        return this.#observingGroups(targets, request, now);
    }
  }

  /** Targets of a pool of stages that calls may go to now or soon. */
  members(
    targets: readonly ListedTarget[],
    now: number,
  ): readonly ListedTarget[] {
    if (this.#phase !== RolloutPhase.Observing || !this.#hasOthers) {
      return this.groups(targets, {}, now).find((one) => one.length > 0) ?? [];
    }
    const others = this.#others(targets);
    if (this.isStopped) return others;
    const news = targets.filter((one) => this.isNew(one));
    return [...others, ...this.#inTurn(news, others.length, now)];
  }

  /** Pieces of a call that may go to a target now. */
  maxPieces(target: BuildHolder, now: number): number {
    if (!this.isNew(target)) return Number.POSITIVE_INFINITY;
    if (this.#phase === RolloutPhase.Reverted) return 0;
    if (this.#phase !== RolloutPhase.Observing || !this.#hasOthers) {
      return Number.POSITIVE_INFINITY;
    }
    const mayUse = this.#mayUseNew(now) && this.calls.whole > 0 &&
      !this.#isHeld(now);
    return mayUse ? this.pieces.whole : 0;
  }

  #observingGroups(
    targets: readonly ListedTarget[],
    { sameBuildAs, isRetry }: RolloutRequest,
    now: number,
  ): TargetGroups {
    // Without other builds there is nothing to protect and to compare with.
    if (!this.#hasOthers) return [targets];
    const others = this.#others(targets);
    const mayUse = this.#mayUseNew(now);
    if (sameBuildAs && this.isNew(sameBuildAs)) {
      return mayUse && this.calls.mayResume ? [targets] : [];
    }
    // A request that has failed once should not fail at an unproven build.
    const isHeld = !mayUse || isRetry ||
      !this.calls.hasReached(this.#threshold) || this.#isHeld(now);
    if (isHeld) return [others];
    const news = targets.filter((one) => this.isNew(one));
    // The allowance must not overload the targets of the build.
    const isFirst = this.#turnAt(now) === 0;
    const most = Math.max(MIN_FIRST_SHARE, news.length / others.length);
    if (isFirst && this.#random() >= most) return [others];
    const first = this.#inTurn(news, others.length, now);
    return [first, news.filter((one) => !first.includes(one)), others];
  }

  #shiftingGroups(
    targets: readonly ListedTarget[],
    { sameBuildAs }: RolloutRequest,
    now: number,
  ): TargetGroups {
    if (sameBuildAs) return [targets];
    if (this.isStopped) return [this.#others(targets)];
    const news = targets.filter((one) => this.isNew(one));
    const leftMs = this.#listed.order.durationMs - this.ageMs(now);
    return leftMs > NO_FALLBACK_MS ? [news, this.#others(targets)] : [news];
  }

  /** True while requests may be sent to the new build. */
  #mayUseNew(now: number): boolean {
    return !this.isStopped && now - this.heardAt < this.#contactMs;
  }

  #others(targets: readonly ListedTarget[]): readonly ListedTarget[] {
    return targets.filter((one) => !this.isNew(one));
  }

  /** True for targets of the builds from which the pool has moved. */
  #hasLeft({ build }: BuildHolder): boolean {
    const from = this.#listed.verdict?.from;
    return from ? from.includes(build ?? null) : build !== this.to;
  }

  /** Number of the turn at time `now`. */
  #turnAt(now: number): number {
    return Math.floor(this.#turnsAt(now));
  }

  /** True in the part of a turn in which credit is kept for its rest. */
  #isHeld(now: number): boolean {
    const turns = this.#turnsAt(now);
    return turns >= 1 && turns % 1 < HELD_SHARE;
  }

  /** Turns that have passed since the order, with their fraction. */
  #turnsAt(now: number): number {
    const turnMs = Math.min(
      MAX_TURN_MS,
      Math.max(MIN_TURN_MS, this.#listed.order.durationMs / TURNS),
    );
    return this.ageMs(now) / turnMs;
  }

  /**
   * Targets of the new build whose turn it is: all in the first one, which uses
   * the allowance up, and then as many as carry the load of old ones each.
   */
  #inTurn(
    news: readonly ListedTarget[],
    others: number,
    now: number,
  ): readonly ListedTarget[] {
    const turn = this.#turnAt(now);
    if (turn === 0) return news;
    const order = rendezvousOrder(news, {
      key: `${this.#listed.pool}/${this.#listed.orderNumber}`,
      idOf: ({ id }) => id,
    });
    const exact = SHARE_USED * this.#share / (1 - HELD_SHARE) * others -
      MAX_EXTRA_LOAD;
    const count = Math.max(1, Math.ceil(exact));
    const first = (turn * count) % Math.max(1, order.length);
    return order.filter((_, i) =>
      (i - first + order.length) % order.length < count
    );
  }
}
