/**
 * Runs the stages of an admitted chain, and releases their results as soon as
 * no stage reads them.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  addressOf,
  type FleetState,
  type PlannedStage,
  type PoolResults,
  type ResultHandle,
  type StagePlan,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { ChainResponse, StageChain } from "../wire/mod.ts";
import { type CallTimeOf, remainingChainMs } from "./chain_times.ts";
import type { StageBatcher } from "./stage_batcher.ts";
import type { StageOutcome, StageWork } from "./stage_work.ts";

/**
 * Size of a stage's results from which on their placement and the time of their
 * start matter, in bytes.
 */
const LARGE_RESULT_BYTES = 100_000;
/**
 * Time by which a stage with large results starts before the longest remaining
 * chain has become as short as its own, in milliseconds.
 */
const START_MARGIN_MS = 150;
/** Times that stages of one chain are run again after a result was lost. */
const MAX_RERUNS = 2;

/** Services that run chains. */
export interface ChainExecutorDeps {
  readonly batcher: StageBatcher;
  readonly state: () => FleetState;
  readonly log: Logger;
}

/** Admitted chain, and what to call while it runs. */
export interface AdmittedChain {
  readonly chain: StageChain;
  readonly signal: AbortSignal;
  /** Called when pieces of a stage are sent; see `StageWork`. */
  onSent(index: number, pieces: number): void;
  onStageDone(index: number): void;
}

/** One chain that is running. */
interface ChainRun {
  readonly admitted: AdmittedChain;
  readonly chain: StageChain;
  readonly signal: AbortSignal;
  readonly dueAt: number;
  readonly expiresAt: number;
  /** Releases the results that were not released before. */
  release(all: readonly PoolResults[]): void;
}

/** Runs admitted chains. */
export class ChainExecutor {
  readonly #batcher: StageBatcher;
  readonly #state: () => FleetState;
  readonly #log: Logger;
  readonly #callMs: CallTimeOf;

  constructor({ batcher, state, log }: ChainExecutorDeps) {
    this.#batcher = batcher;
    this.#state = state;
    this.#log = log;
    this.#callMs = (pool) => batcher.callMs(pool);
  }

  /** Releases results that have no more readers. */
  release(all: readonly PoolResults[]): void {
    all.filter(({ results }) => results.length > 0)
      .forEach(({ pool, results }) => this.#batcher.release(pool, results));
  }

  /** Runs all stages; releases all results when one of them fails. */
  async run(
    admitted: AdmittedChain,
    planned: StagePlan,
  ): Promise<ChainResponse> {
    const { chain, signal, onStageDone } = admitted;
    const abort = new AbortController();
    const now = monotonicMs();
    const released = new Set<ResultHandle>();
    const run: ChainRun = {
      admitted,
      chain,
      signal: AbortSignal.any([signal, abort.signal]),
      dueAt: now + chain.dueMs,
      expiresAt: now + chain.expiresMs,
      release: (all) =>
        this.release(all.map(({ pool, results }) => {
          const unreleased = results.filter((one) => !released.has(one));
          unreleased.forEach((one) => released.add(one));
          return { pool, results: unreleased };
        })),
    };
    let plan = planned;
    let reruns = 0;
    const running = new Map<number, Promise<[number, StageOutcome]>>();
    while (!plan.isDone) {
      startableStages(this.#callMs, plan).forEach((stage) => {
        running.set(stage.index, this.#runStage(run, plan, stage));
        plan = plan.start(stage.index);
      });
      const [index, outcome] = await Promise.race(running.values());
      running.delete(index);
      if (outcome.kind === "done") {
        plan = plan.finish(index, outcome.results);
        onStageDone(index);
        run.release(plan.unneededResults());
        continue;
      }
      if (outcome.kind === "input-gone" && reruns < MAX_RERUNS) {
        reruns += 1;
        run.release(plan.allResults());
        plan = plan.redo(index);
        continue;
      }
      abort.abort();
      running.forEach((one) =>
        one.then(([lateIndex, lateOutcome]) => {
          if (lateOutcome.kind === "done") {
            run.release(
              plan.finish(lateIndex, lateOutcome.results).allResults(),
            );
          }
        })
      );
      run.release(plan.allResults());
      const reason = outcome.kind === "refused" ? outcome.reason : outcome.kind;
      return { kind: "refused", reason };
    }
    return { kind: "done", results: finalResults(plan) };
  }

  async #runStage(
    run: ChainRun,
    plan: StagePlan,
    stage: PlannedStage,
  ): Promise<[number, StageOutcome]> {
    const { pool } = stage.spec;
    const startedAt = monotonicMs();
    const work = this.#stageWork(run, plan, stage);
    const outcome = await this.#batcher.submit(work, run.signal);
    this.#log.info("stage_ended", {
      request: run.chain.requestId,
      stage: stage.index,
      pool,
      pieces: stage.pieces,
      outcome: outcome.kind,
      reason: outcome.kind === "refused" ? outcome.reason : undefined,
      tookMs: Math.round(monotonicMs() - startedAt),
      slackMs: Math.round(work.dueAt - startedAt),
    });
    return [stage.index, outcome];
  }

  #stageWork(run: ChainRun, plan: StagePlan, stage: PlannedStage): StageWork {
    const remainingMs = remainingChainMs(this.#callMs, plan, stage);
    const inputs = plan.inputsOf(stage);
    const exclusiveInputs = plan.exclusiveInputsOf(stage);
    const segments = Array.from({ length: stage.pieces }, (_, i) => i);
    return {
      pool: stage.spec.pool,
      priority: run.chain.priority,
      dueAt: run.dueAt - remainingMs,
      expiresAt: run.expiresAt - remainingMs,
      isResumed: run.chain.isResumed,
      resultBytes: stage.spec.resultBytes,
      domain: this.#preferredDomain(run, plan, stage),
      pieces: segments.map((segment) => ({
        requestId: run.chain.requestId,
        stage: stage.index,
        segment,
        ...(stage.spec.after.length === 0
          ? { key: run.chain.key }
          : { inputs }),
      })),
      onSent: (pieces) => run.admitted.onSent(stage.index, pieces),
      onInputsRead: () =>
        run.release(
          exclusiveInputs.filter(({ pool }) =>
            this.#batcher.isResultMemoryScarce(pool)
          ),
        ),
    };
  }

  /**
   * Preferred failure domain of a stage: that of its large inputs, or the one
   * in which its large results are read. Undefined for small data.
   */
  #preferredDomain(
    { chain }: ChainRun,
    plan: StagePlan,
    stage: PlannedStage,
  ): string | undefined {
    const inputs = stage.spec.after.flatMap((i) => plan.stages[i] ?? []);
    const inputBytes = inputs.reduce((sum, one) => sum + bytesOf(one), 0);
    if (inputBytes >= LARGE_RESULT_BYTES) return this.#mainDomainOf(inputs);
    const isFinal = plan.finalStages().includes(stage);
    return isFinal && bytesOf(stage) >= LARGE_RESULT_BYTES
      ? chain.resultDomain
      : undefined;
  }

  /** Failure domain that holds the most results of `stages`. */
  #mainDomainOf(stages: readonly PlannedStage[]): string | undefined {
    const counts = new Map<string, number>();
    stages.flatMap(({ results = [] }) => results).forEach((result) => {
      const domain = this.#domainOfAddress(addressOf(result));
      if (domain === undefined) return;
      counts.set(domain, (counts.get(domain) ?? 0) + 1);
    });
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
  }

  #domainOfAddress(address: string): string | undefined {
    return [...this.#state().targets.values()]
      .find(({ target }) => target?.address === address)?.target
      ?.failureDomain;
  }
}

/**
 * Stages that can start now. A stage with large results that would wait for a
 * longer chain of stages starts only once that chain is about as short, so that
 * its results do not occupy result memory in the meantime.
 */
function startableStages(
  callMs: CallTimeOf,
  plan: StagePlan,
): readonly PlannedStage[] {
  const remainingMs = (stage: PlannedStage) =>
    remainingChainMs(callMs, plan, stage);
  const unfinished = plan.stages.filter(({ results }) => results === undefined);
  const longestMs = Math.max(0, ...unfinished.map(remainingMs));
  return plan.ready().filter((stage) =>
    bytesOf(stage) < LARGE_RESULT_BYTES ||
    remainingMs(stage) + START_MARGIN_MS >= longestMs
  );
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
