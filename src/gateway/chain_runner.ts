/**
 * Owner of a group of pools of stages: admits the chains of stages of all
 * entries' requests and runs them.
 *
 * One process sees all the work of the group's pools, so it knows at a
 * request's arrival whether its results can be ready in time. Ownership is a
 * matter of efficiency only: two owners at the same time form smaller calls.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  addressOf,
  type FleetState,
  type PlannedStage,
  type PoolResults,
  Pressure,
  type Rank,
  RankSlack,
  type ResultHandle,
  StagePlan,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { ChainAnswer, StageChain } from "../wire/mod.ts";
import type { StageBatcher } from "./stage_batcher.ts";
import type { StageEnd, StageWork } from "./stage_work.ts";

/** Gain of the moving mean of errors of the expected time. */
const ERROR_GAIN = 0.1;
/** Bounds of the mean error that is counted, in milliseconds. */
const MAX_ERROR_MS = 500;
/**
 * Time in which the mean error halves, in milliseconds. Without it one large
 * error could refuse every request, so that nothing would correct it.
 */
const ERROR_HALF_LIFE_MS = 2_000;
/** Results of a stage that are worth placing, in bytes. */
const LARGE_BYTES = 100_000;
/** Head start of a stage before another chain is as short, in milliseconds. */
const START_MARGIN_MS = 150;
/** Times that stages are run again after a result was lost. */
const MAX_REDOS = 2;

/** One chain that is being run. */
interface Run {
  readonly chain: StageChain;
  readonly signal: AbortSignal;
  readonly dueAt: number;
  readonly expiresAt: number;
  /** Frees results that were not freed before. */
  free(all: readonly PoolResults[]): void;
}

/** Admits and runs chains of stages. */
export class ChainRunner {
  readonly #batcher: StageBatcher;
  readonly #state: () => FleetState;
  readonly #log: Logger;
  /** Pieces of admitted chains that are not made, by pool. */
  readonly #committed = new Map<string, number>();
  #error: { readonly ms: number; readonly at: number } = { ms: 0, at: 0 };
  #slack = new RankSlack();
  #pressure = new Pressure();

  constructor(
    deps: { batcher: StageBatcher; state: () => FleetState; log: Logger },
  ) {
    this.#batcher = deps.batcher;
    this.#state = deps.state;
    this.#log = deps.log;
  }

  /** Runs all stages; frees what was made when it fails. */
  async run(chain: StageChain, signal: AbortSignal): Promise<ChainAnswer> {
    const plan = planOf(chain);
    const bareMs = this.#bareMs(plan);
    const expectedMs = this.#expectedMs(plan);
    const errorMs = this.#meanErrorMs;
    const waitMs = expectedMs + errorMs - bareMs;
    const rank = { priority: chain.priority, slackMs: chain.dueMs - bareMs };
    this.#slack = this.#slack.note(rank, monotonicMs());
    const limitMs = this.#limitMs(chain, rank, bareMs);
    this.#log.info("chain_admission", {
      request: chain.requestId,
      waitMs: Math.round(waitMs),
      limitMs: Math.round(limitMs),
      slackMs: Math.round(rank.slackMs),
      bareMs: Math.round(bareMs),
      errorMs: Math.round(errorMs),
      priority: chain.priority,
    });
    const isRefused = waitMs > limitMs;
    this.#pressure = this.#pressure.note(isRefused);
    if (isRefused) {
      return refused("the queue is too long");
    }
    const startedAt = monotonicMs();
    const left = new Map(
      plan.stages.map(({ index, pieces, spec }) =>
        [index, { pool: spec.pool, pieces }] as const
      ),
    );
    left.forEach(({ pool, pieces }) => this.#commit(pool, pieces));
    // One that is late goes in turn with those that came with it.
    const dueMs = Math.max(chain.dueMs, bareMs + limitMs);
    const answer = await this.#runAdmitted({ ...chain, dueMs }, plan, {
      signal,
      stageDone: (index) => {
        const done = left.get(index);
        left.delete(index);
        if (done) this.#commit(done.pool, -done.pieces);
      },
    });
    left.forEach(({ pool, pieces }) => this.#commit(pool, -pieces));
    if (answer.kind === "done") {
      this.#learn(monotonicMs() - startedAt - expectedMs);
    }
    return answer;
  }

  /** Longest wait with which a chain is taken, in milliseconds. */
  #limitMs(chain: StageChain, rank: Rank, bareMs: number): number {
    const now = monotonicMs();
    const usefulMs = chain.expiresMs - bareMs;
    const longestMs = rank.slackMs > 0
      ? this.#slack.limitMs(rank, now)
      : this.#slack.lateLimitMs(rank.priority, usefulMs, now);
    return this.#pressure.waitShare(chain.sizeRank) * longestMs;
  }

  /** Frees results that nothing reads any more. */
  free(all: readonly PoolResults[]): void {
    all.filter(({ results }) => results.length > 0)
      .forEach(({ pool, results }) => this.#batcher.free(pool, results));
  }

  async #runAdmitted(
    chain: StageChain,
    planned: StagePlan,
    opts: {
      signal: AbortSignal;
      stageDone: (index: number) => void;
    },
  ): Promise<ChainAnswer> {
    const { signal, stageDone } = opts;
    const abort = new AbortController();
    const now = monotonicMs();
    const freed = new Set<ResultHandle>();
    const run: Run = {
      chain,
      signal: AbortSignal.any([signal, abort.signal]),
      dueAt: now + chain.dueMs,
      expiresAt: now + chain.expiresMs,
      free: (all) =>
        this.free(all.map(({ pool, results }) => {
          const fresh = results.filter((one) => !freed.has(one));
          fresh.forEach((one) => freed.add(one));
          return { pool, results: fresh };
        })),
    };
    let plan = planned;
    let redos = 0;
    const running = new Map<number, Promise<[number, StageEnd]>>();
    while (!plan.isDone) {
      startable(this.#callMs, plan).forEach((stage) => {
        running.set(stage.index, this.#stage(run, plan, stage));
        plan = plan.start(stage.index);
      });
      const [index, end] = await Promise.race(running.values());
      running.delete(index);
      if (end.kind === "done") {
        plan = plan.finish(index, end.results);
        stageDone(index);
        run.free(plan.spentResults());
        continue;
      }
      if (end.kind === "input-gone" && redos < MAX_REDOS) {
        redos += 1;
        run.free(plan.allResults());
        plan = plan.redo(index);
        continue;
      }
      abort.abort();
      running.forEach((one) =>
        one.then(([late, end]) => {
          if (end.kind === "done") {
            run.free(plan.finish(late, end.results).allResults());
          }
        })
      );
      run.free(plan.allResults());
      return refused(end.kind === "refused" ? end.reason : end.kind);
    }
    return { kind: "done", results: finalResults(plan) };
  }

  async #stage(
    run: Run,
    plan: StagePlan,
    stage: PlannedStage,
  ): Promise<[number, StageEnd]> {
    const { pool } = stage.spec;
    const startedAt = monotonicMs();
    const work = this.#workOf(run, plan, stage);
    const end = await this.#batcher.submit(work, run.signal);
    this.#log.info("stage_ended", {
      request: run.chain.requestId,
      stage: stage.index,
      pool,
      pieces: stage.pieces,
      outcome: end.kind,
      reason: end.kind === "refused" ? end.reason : undefined,
      tookMs: Math.round(monotonicMs() - startedAt),
      slackMs: Math.round(work.dueAt - startedAt),
    });
    return [stage.index, end];
  }

  #workOf(run: Run, plan: StagePlan, stage: PlannedStage): StageWork {
    const aheadMs = chainMs(this.#callMs, plan, stage);
    const inputs = plan.inputsOf(stage);
    const own = plan.inputsOnlyOf(stage);
    const segments = Array.from({ length: stage.pieces }, (_, i) => i);
    return {
      pool: stage.spec.pool,
      priority: run.chain.priority,
      dueAt: run.dueAt - aheadMs,
      expiresAt: run.expiresAt - aheadMs,
      resultBytes: stage.spec.resultBytes,
      domain: this.#domainFor(run, plan, stage),
      pieces: segments.map((segment) => ({
        requestId: run.chain.requestId,
        stage: stage.index,
        segment,
        ...(stage.spec.after.length === 0
          ? { key: run.chain.key }
          : { inputs }),
      })),
      inputsRead: () =>
        run.free(own.filter(({ pool }) => this.#batcher.isRoomScarce(pool))),
    };
  }

  /**
   * Time until a plan's results are expected, in milliseconds: no sooner than
   * each pool has done the work that was admitted before.
   */
  #expectedMs(plan: StagePlan): number {
    return Math.max(
      0,
      ...plan.stages.filter(({ pieces }) => pieces > 0).map((stage) => {
        const { pool } = stage.spec;
        const committed = this.#committed.get(pool) ?? 0;
        const rate = this.#batcher.rate(pool);
        if (rate === 0) return Number.POSITIVE_INFINITY;
        return committed / rate + chainMs(this.#callMs, plan, stage);
      }),
    );
  }

  /** Time that a plan takes when no other work waits, in milliseconds. */
  #bareMs(plan: StagePlan): number {
    return Math.max(
      0,
      ...plan.stages.map((stage) => chainMs(this.#callMs, plan, stage)),
    );
  }

  readonly #callMs = (pool: string) => this.#batcher.callMs(pool);

  /** Mean error of the expected time of chains, in milliseconds. */
  get #meanErrorMs(): number {
    const halves = (monotonicMs() - this.#error.at) / ERROR_HALF_LIFE_MS;
    return this.#error.ms * 0.5 ** halves;
  }

  #learn(errorMs: number): void {
    const next = this.#meanErrorMs + ERROR_GAIN * (errorMs - this.#meanErrorMs);
    const ms = Math.min(MAX_ERROR_MS, Math.max(-MAX_ERROR_MS, next));
    this.#error = { ms, at: monotonicMs() };
  }

  #commit(pool: string, pieces: number): void {
    this.#committed.set(pool, (this.#committed.get(pool) ?? 0) + pieces);
  }

  /**
   * Failure domain beside which a stage is best run: that of its large inputs,
   * or the one where its large results are read.
   */
  #domainFor(
    { chain }: Run,
    plan: StagePlan,
    stage: PlannedStage,
  ): string | undefined {
    const inputs = stage.spec.after.flatMap((i) => plan.stages[i] ?? []);
    const inputBytes = inputs.reduce((sum, one) => sum + bytesOf(one), 0);
    if (inputBytes >= LARGE_BYTES) return this.#domainOf(inputs);
    const isFinal = plan.finalStages().includes(stage);
    return isFinal && bytesOf(stage) >= LARGE_BYTES
      ? chain.resultDomain
      : undefined;
  }

  /** Failure domain that holds the most results of stages. */
  #domainOf(stages: readonly PlannedStage[]): string | undefined {
    const counts = new Map<string, number>();
    stages.flatMap(({ results = [] }) => results).forEach((result) => {
      const domain = this.#domainAt(addressOf(result));
      if (domain === undefined) return;
      counts.set(domain, (counts.get(domain) ?? 0) + 1);
    });
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
  }

  #domainAt(address: string): string | undefined {
    return [...this.#state().targets.values()]
      .find(({ target }) => target?.address === address)?.target
      ?.failureDomain;
  }
}

/** Usual time of a call of a pool, in milliseconds. */
type CallTimes = (pool: string) => number;

/** Usual time from the start of a stage to the end of the last one, in ms. */
export function chainMs(
  callMs: CallTimes,
  plan: StagePlan,
  stage: PlannedStage,
): number {
  const ownMs = stage.pieces > 0 ? callMs(stage.spec.pool) : 0;
  const next = plan.stages
    .filter(({ spec }) => spec.after.includes(stage.index))
    .map((one) => chainMs(callMs, plan, one));
  return ownMs + Math.max(0, ...next);
}

/**
 * Stages that are ready. One with large results that would wait for a longer
 * chain of stages starts only when that chain is as short, so that its results
 * do not hold room all the while.
 */
function startable(
  callMs: CallTimes,
  plan: StagePlan,
): readonly PlannedStage[] {
  const leftMs = (stage: PlannedStage) => chainMs(callMs, plan, stage);
  const open = plan.stages.filter(({ results }) => results === undefined);
  const longestMs = Math.max(0, ...open.map(leftMs));
  return plan.ready().filter((stage) =>
    bytesOf(stage) < LARGE_BYTES ||
    leftMs(stage) + START_MARGIN_MS >= longestMs
  );
}

function planOf({ stages }: StageChain): StagePlan {
  return StagePlan.of(stages, stages.map(({ pieces }) => pieces));
}

function bytesOf({ pieces, spec }: PlannedStage): number {
  return pieces * spec.resultBytes;
}

function finalResults(plan: StagePlan) {
  return plan.finalStages().map(({ spec, results = [] }) => ({
    pool: spec.pool,
    results: [...results],
  }));
}

function refused(reason: string): ChainAnswer {
  return { kind: "refused", reason };
}
