/**
 * Owner of a group of stage pools: admits and runs the chains of stages of the
 * requests of all entries.
 *
 * A single process sees all the work of the group's pools, so it can determine
 * on arrival of a request whether its results can be ready by their due time.
 * Ownership only affects efficiency: two concurrent owners form smaller calls.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  chainsToLeaveOut,
  type FleetState,
  outranks,
  type PoolResults,
  Pressure,
  PrioritySlack,
  ServedShares,
  StagePlan,
  UrgencyReserve,
  type WaitClass,
  WaitErrors,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { ChainResponse, StageChain } from "../wire/mod.ts";
import { ChainExecutor } from "./chain_execution.ts";
import { type ArrivingChain, ChainLoad, ChainWork } from "./chain_load.ts";
import { unloadedChainMs } from "./chain_times.ts";
import type { StageBatcher } from "./stage_batcher.ts";

/**
 * Share of the usual slack of its priority with which a resumed stream is
 * queued, so that it goes before new ones.
 */
const RESUMED_SLACK_SHARE = 0.5;

/**
 * Longest wait that a response states, in milliseconds. Without a usable target
 * the expected wait is infinite, which has no JSON representation and which the
 * receiver, who halves known waits as they age, would never forget.
 */
const MAX_STATED_WAIT_MS = 10_000;

/** Services that chain runners use. */
export interface ChainRunnerDeps {
  readonly batcher: StageBatcher;
  readonly state: () => FleetState;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Decision on a chain. Times are in milliseconds. */
interface Admission {
  readonly startedAt: number;
  /** Expected times until the first stages are sent, without correction. */
  readonly expectedStarts: Map<
    number,
    { readonly ms: number; readonly correctionMs: number }
  >;
  readonly work: ChainWork;
  readonly waitClass: WaitClass;
  /** Expected time until its results are ready, without correction. */
  readonly expectedMs: number;
  /** Correction of that time. */
  readonly errorMs: number;
  /** Expected wait, corrected. */
  readonly waitMs: number;
  /** Due time by which it is queued. */
  readonly dueMs: number;
  /** Chains that lose their places to it. */
  readonly displaced: ReadonlySet<ChainWork>;
  readonly isRefused: boolean;
}

/** Chain that was admitted and has not ended. */
interface RunningChain {
  readonly chain: StageChain;
  /** Aborted when it loses its place. */
  readonly displacement: AbortController;
}

/** Admits and runs chains of stages. */
export class ChainRunner {
  readonly #batcher: StageBatcher;
  readonly #executor: ChainExecutor;
  readonly #load: ChainLoad;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #running = new Map<ChainWork, RunningChain>();
  /** Errors of the expected times of whole chains. */
  #waitErrors = new WaitErrors();
  /** Errors of the expected starts of first stages. */
  #startErrors = new WaitErrors();
  #slackByPriority = new PrioritySlack();
  /** Pressure by priority: no request yields to less urgent ones. */
  readonly #pressures = new Map<number, Pressure>();
  #reserve = new UrgencyReserve();
  #served = new ServedShares();

  constructor(deps: ChainRunnerDeps) {
    this.#batcher = deps.batcher;
    this.#executor = new ChainExecutor(deps);
    this.#load = new ChainLoad(deps.batcher);
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  /**
   * Runs all stages of a chain, or refuses it when its expected wait is too
   * long. A chain that has not begun is refused later when a more urgent one
   * needs its place. Releases all results when a stage fails.
   */
  async run(chain: StageChain, signal: AbortSignal): Promise<ChainResponse> {
    const plan = planOf(chain);
    const startedAt = monotonicMs();
    const admission = this.#decide(chain, plan, startedAt);
    const { work, waitClass, expectedMs, errorMs } = admission;
    if (admission.isRefused) {
      this.#count("chains_refused_total", chain);
      return refused("the queue is too long", admission.waitMs);
    }
    admission.displaced.forEach((one) => this.#displace(one, chain));
    const displacement = new AbortController();
    this.#load.add(work);
    this.#running.set(work, { chain, displacement });
    const response = await this.#executor.run({
      chain: { ...chain, dueMs: admission.dueMs },
      signal: AbortSignal.any([signal, displacement.signal]),
      onSent: (index, pieces) => {
        const pool = work.sent(index, pieces);
        if (pool !== undefined) this.#recordStart(admission, index, pool);
      },
      onStageDone: (index) => work.stageDone(index),
    }, plan);
    this.#load.remove(work);
    this.#running.delete(work);
    if (response.kind === "refused" && displacement.signal.aborted) {
      return refused(
        "a more urgent request has taken its place",
        this.#waitNowMs(chain, plan),
      );
    }
    if (response.kind !== "done") return response;
    const now = monotonicMs();
    const lateMs = now - startedAt - expectedMs;
    this.#waitErrors = this.#waitErrors.observe(waitClass, lateMs, now);
    this.#recordError("chain_estimate_error", waitClass, lateMs - errorMs);
    return { ...response, waitMs: statedMs(this.#waitNowMs(chain, plan)) };
  }

  /** Releases results that have no more readers. */
  release(all: readonly PoolResults[]): void {
    this.#executor.release(all);
  }

  /** Decides whether a chain is admitted, and which ones lose their places. */
  #decide(chain: StageChain, plan: StagePlan, now: number): Admission {
    const { priority } = chain;
    const unloadedMs = unloadedChainMs(this.#callMs, plan);
    const slackMs = chain.dueMs - unloadedMs;
    const isOnTime = slackMs > 0;
    this.#slackByPriority = this.#slackByPriority
      .observe({ priority, slackMs }, now);
    const longestMs = this.#longestWaitMs(chain, unloadedMs, now);
    const dueMs = this.#queuedDueMs(chain, unloadedMs);
    const arriving: ArrivingChain = { plan, priority, dueAt: now + dueMs };
    const work = new ChainWork(this.#callMs, arriving);
    const displaced = this.#displacedBy(work, chain, now);
    const expected = this.#load.expected(arriving, now, displaced);
    const waitClass = { pools: poolsOf(plan), priority, isOnTime };
    const errorMs = this.#waitErrors.correctionMs(waitClass, now);
    const waitMs = expected.ms + errorMs - unloadedMs;
    const marginMs = isOnTime && !chain.isResumed
      ? this.#waitErrors.marginMs(waitClass, now)
      : 0;
    const limitMs = this.#waitShare(chain, now) * longestMs;
    const refusal = displaced.has(work)
      ? "others-late"
      : waitMs + marginMs > longestMs
      ? "late"
      : this.#isReserved(chain, plan, longestMs)
      ? "reserved"
      : waitMs + marginMs > limitMs
      ? "yields"
      : undefined;
    const isRefused = refusal !== undefined;
    if (isOnTime) {
      this.#pressures
        .set(
          priority,
          this.#pressureOf(priority).observe(isRefused && refusal !== "yields"),
        );
      this.#reserve = this.#reserve
        .observe(priority, isRefused && refusal !== "yields", now);
      this.#served = this.#served.observe(kindOf(chain), !isRefused);
    }
    this.#log.info("chain_admission", {
      request: chain.requestId,
      waitMs: Math.round(waitMs),
      limitMs: Math.round(limitMs),
      slackMs: Math.round(slackMs),
      bareMs: Math.round(unloadedMs),
      errorMs: Math.round(errorMs),
      marginMs: Math.round(marginMs),
      share: this.#reserve.shareOf(priority, now),
      pool: expected.pool,
      priority,
      displaced: isRefused ? 0 : displaced.size,
      refused: refusal,
    });
    const expectedStarts = this.#load.expectedStarts(arriving, now, displaced);
    return {
      startedAt: now,
      expectedStarts: new Map(
        [...expectedStarts].map(([index, ms]) => {
          const pools = plan.stages[index]?.spec.pool ?? "";
          const correctionMs = this.#startErrors
            .correctionMs({ ...waitClass, pools }, now);
          return [index, { ms, correctionMs }];
        }),
      ),
      work,
      waitClass,
      expectedMs: expected.ms,
      errorMs,
      waitMs,
      dueMs,
      displaced,
      isRefused,
    };
  }

  /**
   * Share of the longest wait up to which a chain is admitted. Small requests
   * yield only when there are no less urgent ones that could, and not while
   * their kind is starved.
   */
  #waitShare(chain: StageChain, now: number): number {
    const { priority, sizeRank, isResumed } = chain;
    const yields = !isResumed &&
      this.#slackByPriority.isLeastUrgent(priority, now) &&
      !this.#served.isStarved(kindOf(chain));
    return yields ? this.#pressureOf(priority).waitShare(sizeRank) : 1;
  }

  /** Longest expected wait at which a chain is admitted, in milliseconds. */
  #longestWaitMs(
    { priority, dueMs, expiresMs, isResumed }: StageChain,
    unloadedMs: number,
    now: number,
  ): number {
    const usefulMs = expiresMs - unloadedMs;
    // The caller of a resumed stream has read a part of it, which a refusal
    // would waste.
    if (isResumed) return usefulMs;
    const slackMs = dueMs - unloadedMs;
    return slackMs > 0
      ? Math.min(
        usefulMs,
        this.#slackByPriority.limitMs({ priority, slackMs }, now),
      )
      : this.#slackByPriority.overdueLimitMs(priority, usefulMs, now);
  }

  /**
   * Due time by which a chain is queued, in milliseconds: that of a resumed
   * stream is before those of new ones of its priority.
   */
  #queuedDueMs(
    { priority, dueMs, isResumed }: StageChain,
    unloadedMs: number,
  ): number {
    if (!isResumed) return dueMs;
    const slackMs = dueMs - unloadedMs;
    const usualMs = this.#slackByPriority.usualMs(priority) ?? 0;
    return unloadedMs + RESUMED_SLACK_SHARE *
        (slackMs > 0 ? Math.min(usualMs, slackMs) : usualMs);
  }

  /**
   * True when the waiting work is so long that a less urgent chain is refused,
   * so that more urgent ones that arrive next find a place.
   */
  #isReserved(chain: StageChain, plan: StagePlan, longestMs: number): boolean {
    const isExempt = chain.isResumed || chain.isRetry ||
      this.#served.isStarved(kindOf(chain));
    if (isExempt) return false;
    const share = this.#reserve.shareOf(chain.priority, monotonicMs());
    return share < 1 && this.#load.backlogMs(plan) > share * longestMs;
  }

  /**
   * Returns the chains that have not begun and lose their places to a chain;
   * contains the chain itself when it would make others late.
   */
  #displacedBy(
    arriving: ChainWork,
    { isResumed = false }: StageChain,
    now: number,
  ): ReadonlySet<ChainWork> {
    const pools = new Set(
      [...arriving.openStages()].filter(({ isFirst }) => isFirst)
        .map(({ pool }) => pool),
    );
    const isRemovable = (chain: ChainWork) =>
      chain === arriving
        ? !isResumed
        : this.#mayDisplace(chain, arriving.priority, isResumed);
    this.#load.add(arriving);
    const displaced = [...pools].flatMap((pool) => {
      const forecast = this.#batcher.forecast(pool);
      const corrections = new Map<number, number>();
      const correctionMs = (priority: number) => {
        const known = corrections.get(priority);
        if (known !== undefined) return known;
        const startClass = { pools: pool, priority, isOnTime: true };
        const ms = this.#startErrors.correctionMs(startClass, now) +
          this.#startErrors.marginMs(startClass, now);
        corrections.set(priority, ms);
        return ms;
      };
      const schedule = {
        stages: this.#load.waiting(pool).map((stage) => ({
          ...stage,
          correctionMs: correctionMs(stage.chain.priority),
        })),
        sentInMs: (pieces: number) => forecast.sentInMs(pieces),
        rankOf: (chain: ChainWork) => ({
          priority: chain.priority,
          isRemovable: isRemovable(chain),
        }),
      };
      return [...chainsToLeaveOut(schedule, arriving, now)];
    });
    this.#load.remove(arriving);
    return new Set(displaced);
  }

  /** True when a waiting chain may lose its place to a chain of a priority. */
  #mayDisplace(
    waiting: ChainWork,
    priority: number,
    isResumed: boolean,
  ): boolean {
    const running = this.#running.get(waiting);
    if (!running || waiting.hasBegun || running.chain.isResumed) return false;
    const isLessUrgent = outranks(priority, waiting.priority) ||
      (isResumed && waiting.priority === priority);
    return isLessUrgent && !this.#served.isStarved(kindOf(running.chain));
  }

  /** Refuses a chain that has not begun in favour of a more urgent one. */
  #displace(work: ChainWork, by: StageChain): void {
    const running = this.#running.get(work);
    if (!running) return;
    const { chain, displacement } = running;
    this.#log.info("chain_displaced", {
      request: chain.requestId,
      priority: chain.priority,
      by: by.requestId,
      byPriority: by.priority,
    });
    this.#count("chains_displaced_total", chain);
    this.#served = this.#served.withdraw(kindOf(chain));
    // Its work must not count when the next chain arrives in the same turn.
    this.#load.remove(work);
    displacement.abort();
  }

  /** Wait of a chain that arrives now, in milliseconds. */
  #waitNowMs({ priority, dueMs }: StageChain, plan: StagePlan): number {
    const now = monotonicMs();
    const arriving: ArrivingChain = { plan, priority, dueAt: now + dueMs };
    const { ms } = this.#load.expected(arriving, now);
    const waitClass = { pools: poolsOf(plan), priority, isOnTime: true };
    return ms + this.#waitErrors.correctionMs(waitClass, now) -
      unloadedChainMs(this.#callMs, plan);
  }

  /** Records by how much a first stage started later than expected. */
  #recordStart(
    { startedAt, expectedStarts, waitClass }: Admission,
    index: number,
    pool: string,
  ): void {
    const expected = expectedStarts.get(index);
    if (expected === undefined) return;
    expectedStarts.delete(index);
    const { ms, correctionMs } = expected;
    const now = monotonicMs();
    const lateMs = now - startedAt - ms;
    const startClass = { ...waitClass, pools: pool };
    this.#startErrors = this.#startErrors.observe(startClass, lateMs, now);
    this.#recordError("stage_wait_error", startClass, lateMs - correctionMs);
  }

  /** Records by how much something took longer than expected. */
  #recordError(
    name: string,
    { pools, priority }: WaitClass,
    errorMs: number,
  ): void {
    this.#metrics.durations(name, {
      pool: pools,
      priority: String(priority),
      sign: errorMs < 0 ? "early" : "late",
    }).record(Math.abs(errorMs));
  }

  #pressureOf(priority: number): Pressure {
    return this.#pressures.get(priority) ?? new Pressure();
  }

  #count(name: string, { priority }: StageChain): void {
    this.#metrics.count(name, { priority: String(priority) });
  }

  readonly #callMs = (pool: string) => this.#batcher.callMs(pool);
}

function planOf({ stages }: StageChain): StagePlan {
  return StagePlan.of(stages, stages.map(({ pieces }) => pieces));
}

/** Returns the names of the pools that a plan passes. */
function poolsOf({ stages }: StagePlan): string {
  return stages.filter(({ pieces }) => pieces > 0)
    .map(({ spec }) => spec.pool).join("+");
}

/** Returns the name of the requests with the same priority and stages. */
function kindOf({ priority, stages }: StageChain): string {
  return [priority, ...stages.map(({ pool }) => pool)].join("/");
}

function refused(reason: string, waitMs: number): ChainResponse {
  return { kind: "refused", reason, waitMs: statedMs(waitMs) };
}

function statedMs(waitMs: number): number {
  return Math.min(MAX_STATED_WAIT_MS, waitMs);
}
