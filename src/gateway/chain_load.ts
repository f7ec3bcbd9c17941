/**
 * Work of the chains that an owner has admitted, and the expected times of
 * further chains behind it.
 *
 * @module
 */

import type { PlannedStage, StagePlan, WaitingStage } from "../serving/mod.ts";
import { type CallTimeOf, remainingChainMs } from "./chain_times.ts";
import type { StageBatcher } from "./stage_batcher.ts";

/** Stage of an admitted chain that is not done. */
interface OpenStage {
  readonly pool: string;
  readonly pieces: number;
  /** False for a stage that reads results of others. */
  readonly isFirst: boolean;
  /** Latest start with which the chain is on time. */
  readonly dueAt: number;
  unsentPieces: number;
}

/** Chain that arrives. */
export interface ArrivingChain {
  readonly plan: StagePlan;
  readonly priority: number;
  /** Monotonic time at which the results are needed. */
  readonly dueAt: number;
}

/** Expected time until the results of a chain are ready. */
export interface ExpectedTime {
  readonly ms: number;
  /** Pool in which the chain waits longest. */
  readonly pool: string;
}

/** Part of the batcher that expects times. */
export type ExpectedTimes = Pick<StageBatcher, "rate" | "callMs" | "forecast">;

/** Work of one admitted chain. */
export class ChainWork {
  readonly priority: number;
  readonly #open: Map<number, OpenStage>;
  #hasBegun = false;

  constructor(callMs: CallTimeOf, { plan, priority, dueAt }: ArrivingChain) {
    this.priority = priority;
    this.#open = new Map(
      plan.stages.filter(({ pieces }) => pieces > 0).map((stage) => [
        stage.index,
        {
          pool: stage.spec.pool,
          pieces: stage.pieces,
          isFirst: stage.spec.after.length === 0,
          dueAt: dueAt - remainingChainMs(callMs, plan, stage),
          unsentPieces: stage.pieces,
        },
      ]),
    );
  }

  /** True once a piece was sent to a target. */
  get hasBegun(): boolean {
    return this.#hasBegun;
  }

  /** Stages that are not done. */
  openStages(): IterableIterator<Readonly<OpenStage>> {
    return this.#open.values();
  }

  /**
   * Records pieces that were sent, or a negative number of refused ones.
   * Returns the pool of the stage when none of its pieces is left to send.
   */
  sent(index: number, pieces: number): string | undefined {
    this.#hasBegun = true;
    const stage = this.#open.get(index);
    if (!stage) return undefined;
    const unsent = stage.unsentPieces - pieces;
    stage.unsentPieces = Math.min(stage.pieces, Math.max(0, unsent));
    return stage.unsentPieces === 0 ? stage.pool : undefined;
  }

  stageDone(index: number): void {
    this.#open.delete(index);
  }
}

/** Work of all admitted chains. */
export class ChainLoad {
  readonly #times: ExpectedTimes;
  readonly #chains = new Set<ChainWork>();
  readonly #callMs: CallTimeOf;

  constructor(times: ExpectedTimes) {
    this.#times = times;
    this.#callMs = (pool) => times.callMs(pool);
  }

  add(work: ChainWork): void {
    this.#chains.add(work);
  }

  remove(work: ChainWork): void {
    this.#chains.delete(work);
  }

  /**
   * Expected time until the results of a chain are ready, without the work of
   * `except`. Each pool first works on what is due earlier.
   */
  expected(
    chain: ArrivingChain,
    now: number,
    except: ReadonlySet<ChainWork> = new Set(),
  ): ExpectedTime {
    return chain.plan.stages.filter(({ pieces }) => pieces > 0)
      .map((stage) => ({
        pool: stage.spec.pool,
        ms: this.#startMs(chain, stage, now, except) +
          remainingChainMs(this.#callMs, chain.plan, stage),
      }))
      .reduce((a, b) => b.ms > a.ms ? b : a, { pool: "", ms: 0 });
  }

  /**
   * Time until all first stages of a plan are sent after all other waiting work
   * of their pools, in milliseconds.
   */
  backlogMs(plan: StagePlan): number {
    return Math.max(
      0,
      ...plan.stages
        .filter(({ pieces, spec }) => pieces > 0 && spec.after.length === 0)
        .map(({ pieces, spec: { pool } }) => {
          const unsent = this.waiting(pool)
            .reduce((sum, one) => sum + one.pieces, 0);
          return this.#times.forecast(pool).sentInMs(unsent + pieces);
        }),
    );
  }

  /** Expected times until the first stages of a chain are sent, in ms. */
  expectedStarts(
    chain: ArrivingChain,
    now: number,
    except: ReadonlySet<ChainWork>,
  ): ReadonlyMap<number, number> {
    const first = chain.plan.stages
      .filter(({ pieces, spec }) => pieces > 0 && spec.after.length === 0);
    return new Map(
      first.map((stage) => [
        stage.index,
        this.#startMs(chain, stage, now, except),
      ]),
    );
  }

  /** Unsent first stages of a pool, by chain. */
  waiting(pool: string): WaitingStage<ChainWork>[] {
    const waiting: WaitingStage<ChainWork>[] = [];
    for (const chain of this.#chains) {
      for (const one of chain.openStages()) {
        if (one.pool !== pool || !one.isFirst || one.unsentPieces === 0) {
          continue;
        }
        waiting.push({
          chain,
          pieces: one.unsentPieces,
          dueAt: one.dueAt,
          correctionMs: 0,
        });
      }
    }
    return waiting;
  }

  /** Time until all pieces of a stage are sent, in milliseconds. */
  #startMs(
    { plan, priority, dueAt }: ArrivingChain,
    stage: PlannedStage,
    now: number,
    except: ReadonlySet<ChainWork>,
  ): number {
    const { spec: { pool, after }, pieces } = stage;
    if (after.length > 0) {
      const rate = this.#times.rate(pool);
      if (rate === 0) return Number.POSITIVE_INFINITY;
      return this.#pendingPieces(pool, except) / rate;
    }
    const startDueAt = dueAt - remainingChainMs(this.#callMs, plan, stage);
    const ahead = this.#piecesAhead(
      { pool, priority, dueAt: startDueAt },
      now,
      except,
    );
    return this.#times.forecast(pool).sentInMs(ahead + pieces);
  }

  #pendingPieces(pool: string, except: ReadonlySet<ChainWork>): number {
    let sum = 0;
    for (const chain of this.#chains) {
      if (except.has(chain)) continue;
      for (const one of chain.openStages()) {
        if (one.pool === pool) sum += one.pieces;
      }
    }
    return sum;
  }

  /** Number of unsent pieces that are sent before a stage. */
  #piecesAhead(
    { pool, priority, dueAt }: {
      pool: string;
      priority: number;
      dueAt: number;
    },
    now: number,
    except: ReadonlySet<ChainWork>,
  ): number {
    let sum = 0;
    for (const chain of this.#chains) {
      if (except.has(chain)) continue;
      for (const one of chain.openStages()) {
        if (one.pool !== pool) continue;
        const isAhead = dueAt >= now
          ? one.dueAt >= now && one.dueAt <= dueAt
          : one.dueAt >= now || chain.priority <= priority;
        if (isAhead) sum += one.unsentPieces;
      }
    }
    return sum;
  }
}
