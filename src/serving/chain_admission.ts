/**
 * Decides which chains of stages of one pool are admitted when not all of them
 * can start by their due times.
 *
 * The waiting stages are scheduled by due time. Where one of them would start
 * too late, the chain that is worth the least for the work that it takes, among
 * those that start before it and itself, is left out.
 *
 * @module
 */

import { levelOf } from "./urgency.ts";

/** Unsent pieces of a chain in one pool. Times are monotonic milliseconds. */
export interface WaitingStage<T> {
  /** Chain of the stage. */
  readonly chain: T;
  readonly pieces: number;
  /** Latest start with which the chain is on time. */
  readonly dueAt: number;
  /** What is added to the expected time of its start, in milliseconds. */
  readonly correctionMs: number;
}

/** Chain that may be left out. */
export interface ChainRank {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** False for a chain that has begun or may not be left out. */
  readonly isRemovable: boolean;
}

/** Stages of one pool and its throughput. */
export interface PoolSchedule<T> {
  readonly stages: readonly WaitingStage<T>[];
  /** Time until `pieces` pieces are sent, in milliseconds. */
  sentInMs(pieces: number): number;
  rankOf(chain: T): ChainRank;
}

/**
 * Number of chains of one level that are worth as much as one of the next more
 * urgent level with as many pieces.
 */
const LEVEL_RATIO = 4;

/**
 * Returns the chains that have to be left out so that `arriving` makes no chain
 * late that was on time without it. `arriving` itself is among them when it is
 * to be refused, and then it is the only one.
 */
export function chainsToLeaveOut<T>(
  schedule: PoolSchedule<T>,
  arriving: T,
  now: number,
): ReadonlySet<T> {
  const stages = schedule.stages.filter(({ dueAt }) => dueAt >= now)
    .sort((a, b) => a.dueAt - b.dueAt);
  const lateBefore = lateChains(
    stages.filter(({ chain }) => chain !== arriving),
    schedule,
    now,
  );
  const out = new Set<T>();
  const included = new IncludedChains(schedule);
  for (const stage of stages) {
    if (out.has(stage.chain)) continue;
    included.add(stage);
    while (
      !lateBefore.has(stage.chain) &&
      isLate(stage, included.pieces, schedule, now)
    ) {
      const victim = included.removeLeastWorth();
      // What cannot be left out stays, and is late.
      if (victim === undefined) break;
      if (victim === arriving) return new Set([arriving]);
      out.add(victim);
      if (victim === stage.chain) break;
    }
  }
  return out;
}

function lateChains<T>(
  stages: readonly WaitingStage<T>[],
  schedule: PoolSchedule<T>,
  now: number,
): ReadonlySet<T> {
  const late = new Set<T>();
  let pieces = 0;
  for (const stage of stages) {
    pieces += stage.pieces;
    if (isLate(stage, pieces, schedule, now)) late.add(stage.chain);
  }
  return late;
}

function isLate<T>(
  { dueAt, correctionMs }: WaitingStage<T>,
  pieces: number,
  { sentInMs }: PoolSchedule<T>,
  now: number,
): boolean {
  return now + sentInMs(pieces) + correctionMs > dueAt;
}

/** Chains of which stages are included in the schedule. */
class IncludedChains<T> {
  /** Pieces of all included stages. */
  pieces = 0;
  readonly #rankOf: (chain: T) => ChainRank;
  /** Stages whose chains are not ranked yet: mostly none has to be. */
  #unranked: WaitingStage<T>[] = [];
  readonly #removable = new Map<T, { priority: number; pieces: number }>();

  constructor({ rankOf }: Pick<PoolSchedule<T>, "rankOf">) {
    this.#rankOf = rankOf;
  }

  add(stage: WaitingStage<T>): void {
    this.pieces += stage.pieces;
    this.#unranked.push(stage);
  }

  /** Removes the removable chain that is worth the least for its work. */
  removeLeastWorth(): T | undefined {
    this.#rank();
    let least: T | undefined;
    let leastWorth = Number.POSITIVE_INFINITY;
    this.#removable.forEach(({ priority, pieces }, chain) => {
      const worth = LEVEL_RATIO ** -levelOf(priority) / Math.max(1, pieces);
      if (worth > leastWorth) return;
      least = chain;
      leastWorth = worth;
    });
    if (least === undefined) return undefined;
    this.pieces -= this.#removable.get(least)?.pieces ?? 0;
    this.#removable.delete(least);
    return least;
  }

  #rank(): void {
    this.#unranked.forEach(({ chain, pieces }) => {
      const { priority, isRemovable } = this.#rankOf(chain);
      if (!isRemovable) return;
      const before = this.#removable.get(chain)?.pieces ?? 0;
      this.#removable.set(chain, { priority, pieces: before + pieces });
    });
    this.#unranked = [];
  }
}
