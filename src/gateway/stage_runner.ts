/**
 * Takes one request through its stages of pieces.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import {
  addressOf,
  type Catalog,
  expectedCallMs,
  type PlannedStage,
  type PoolResults,
  type ResultHandle,
  type Route,
  StagePlan,
} from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type {
  EntryPeerClients,
  StageWork,
  StageWorkAnswer,
} from "../wire/mod.ts";
import type { Peers } from "./peers.ts";
import type { CallerRequest } from "./ports.ts";
import type { ResultFreer } from "./result_freer.ts";
import type { StageOwner } from "./stage_owner.ts";

/** Owners that are tried with the pieces of one stage. */
const MAX_OWNERS = 3;

/** Head start of a stage before another chain is as short, in milliseconds. */
const START_MARGIN_MS = 150;
/** Results of a stage that are worth placing, in bytes. */
const LARGE_BYTES = 100_000;

/** Why a request's stages did not end. */
export interface StageRefusal {
  readonly reason: string;
  /** Time until a place is expected, in milliseconds. */
  readonly waitMs: number;
}

/** When the request has to be done. Monotonic milliseconds. */
export interface RequestTimes {
  /** Latest first answer that earns full credit. */
  readonly goalAt: number;
  /** End of the caller's wait. */
  readonly deadlineAt: number;
  /** Usual time of the request itself, behind its stages, in milliseconds. */
  readonly ownMs: number;
}

/** Results that the request itself reads. */
export interface StagedInputs {
  readonly results: readonly ResultHandle[];
  /** Gives up the results once they were read. */
  free(): void;
}

/** What one run of the stages is about. */
interface StageRun {
  readonly req: CallerRequest;
  readonly route: Route;
  readonly priority: number;
  readonly catalog: Catalog;
  readonly times: RequestTimes;
  /** Failure domain in which the results are likely to be read. */
  readonly resultDomain?: string;
  readonly signal: AbortSignal;
}

/** Runs the stages of requests, each by the owner of its pool. */
export class StageRunner {
  readonly #owner: StageOwner;
  readonly #peers: Peers;
  readonly #clients: EntryPeerClients;
  readonly #freer: ResultFreer;
  readonly #log: Logger;
  readonly #domainAt: (address: string) => string | undefined;

  constructor(
    deps: {
      owner: StageOwner;
      peers: Peers;
      clients: EntryPeerClients;
      freer: ResultFreer;
      /** Failure domain of the target at an address. */
      domainAt: (address: string) => string | undefined;
      log: Logger;
    },
  ) {
    this.#domainAt = deps.domainAt;
    this.#owner = deps.owner;
    this.#peers = deps.peers;
    this.#clients = deps.clients;
    this.#freer = deps.freer;
    this.#log = deps.log;
  }

  /** Runs all stages; frees what was made when it fails. */
  async run(run: StageRun): Promise<Result<StagedInputs, StageRefusal>> {
    const abort = new AbortController();
    const signal = AbortSignal.any([run.signal, abort.signal]);
    let plan = StagePlan.of(run.route.stages, run.req.pieces);
    let freed = new Set<ResultHandle>();
    const free = (all: readonly PoolResults[]) =>
      all.forEach(({ pool, results }) => {
        const fresh = results.filter((one) => !freed.has(one));
        freed = new Set([...freed, ...fresh]);
        if (fresh.length > 0) this.#freer.free({ pool, results: fresh });
      });
    const running = new Map<number, Promise<[number, StageWorkAnswer]>>();
    while (!plan.isDone) {
      this.#startable(run.catalog, plan).forEach((stage) => {
        running.set(stage.index, this.#stage(run, plan, stage, signal));
        plan = plan.start(stage.index);
      });
      const [index, answer] = await Promise.race(running.values());
      running.delete(index);
      if (answer.kind !== "done") {
        abort.abort();
        running.forEach((one) =>
          one.then(([late, answer]) => {
            if (answer.kind === "done") {
              free(plan.finish(late, answer.results).allResults());
            }
          })
        );
        free(plan.allResults());
        return err(refusalOf(answer));
      }
      plan = plan.finish(index, answer.results);
      free(plan.spentResults());
    }
    return ok({
      results: plan.finalResults(),
      free: () => free(plan.allResults()),
    });
  }

  /**
   * Stages that are ready. One with large results that would wait for a longer
   * chain of stages starts only when that chain is as short, so that its
   * results do not hold room all the while.
   */
  #startable(catalog: Catalog, plan: StagePlan): readonly PlannedStage[] {
    const waitMs = (pool: string) => this.#waitMs(pool);
    const leftMs = (stage: PlannedStage) =>
      chainMs(catalog, plan, stage, waitMs);
    const open = plan.stages.filter(({ results }) => results === undefined);
    const longestMs = Math.max(0, ...open.map(leftMs));
    return plan.ready().filter((stage) =>
      bytesOf(stage) < LARGE_BYTES ||
      leftMs(stage) + START_MARGIN_MS >= longestMs
    );
  }

  /**
   * Failure domain beside which a stage is best run: that of its large inputs,
   * or the one where its large results are read.
   */
  #domainFor(
    { resultDomain }: StageRun,
    plan: StagePlan,
    stage: PlannedStage,
  ): string | undefined {
    const inputs = stage.spec.after.flatMap((i) => plan.stages[i] ?? []);
    const inputBytes = sum(inputs.map(bytesOf));
    if (inputBytes >= LARGE_BYTES) return this.#domainOf(inputs);
    const isFinal = plan.finalStages().includes(stage);
    return isFinal && bytesOf(stage) >= LARGE_BYTES ? resultDomain : undefined;
  }

  /** Failure domain that holds the most results of stages. */
  #domainOf(stages: readonly PlannedStage[]): string | undefined {
    const counts = new Map<string, number>();
    stages.flatMap(({ results = [] }) => results).forEach((result) => {
      const domain = this.#domainAt(addressOf(result));
      if (domain !== undefined) {
        counts.set(domain, (counts.get(domain) ?? 0) + 1);
      }
    });
    return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
  }

  async #stage(
    run: StageRun,
    plan: StagePlan,
    stage: PlannedStage,
    signal: AbortSignal,
  ): Promise<[number, StageWorkAnswer]> {
    const work = {
      ...workOf(run, plan, stage, (pool) => this.#waitMs(pool)),
      domain: this.#domainFor(run, plan, stage),
      spentInputs: plan.inputsOnlyOf(stage)
        .map(({ pool, results }) => ({ pool, results: [...results] })),
    };
    const startedAt = monotonicMs();
    const answer = await this.#submit(work, signal, startedAt);
    this.#log.info("stage_ended", {
      request: run.req.id,
      stage: stage.index,
      pool: work.pool,
      pieces: stage.pieces,
      outcome: answer.kind,
      reason: answer.kind === "refused" ? answer.reason : undefined,
      tookMs: Math.round(monotonicMs() - startedAt),
      slackMs: Math.round(work.dueMs),
    });
    return [stage.index, answer];
  }

  /** Usual wait for a target of a pool now, in milliseconds. */
  #waitMs(pool: string): number {
    return this.#peers.ownerOf(pool)
      ? this.#peers.waitMs(pool)
      : this.#owner.waitsMs[pool] ?? 0;
  }

  /** Has the pool's owner do the work; another one when that one fails. */
  async #submit(
    work: StageWork,
    signal: AbortSignal,
    startedAt: number,
    tries = 1,
  ): Promise<StageWorkAnswer> {
    const owner = tries < MAX_OWNERS
      ? this.#peers.ownerOf(work.pool)
      : undefined;
    const passedMs = monotonicMs() - startedAt;
    const left = {
      ...work,
      dueMs: work.dueMs - passedMs,
      expiresMs: work.expiresMs - passedMs,
    };
    if (!owner) return this.#owner.submit(left, signal);
    try {
      const answer = await this.#clients.runStage(owner.url, left, signal);
      if (answer.kind !== "leaving") return answer;
    } catch (cause) {
      if (signal.aborted) {
        return { kind: "refused", reason: "caller has gone", waitMs: 0 };
      }
      this.#log.warn("stage_owner_failed", {
        request: work.pieces[0]?.requestId,
        pool: work.pool,
        owner: owner.name,
        detail: String(cause),
      });
    }
    this.#peers.suspect(owner);
    return this.#submit(work, signal, startedAt, tries + 1);
  }
}

/**
 * Usual time from the start of a stage to the end of the last one, in
 * milliseconds, with full calls; `waitMs` gives the wait in front of a pool.
 */
export function chainMs(
  catalog: Catalog,
  plan: StagePlan,
  stage: PlannedStage,
  waitMs: (pool: string) => number,
): number {
  const limits = catalog.pool(stage.spec.pool)?.batch;
  const ownMs = limits && stage.pieces > 0
    ? expectedCallMs(limits, limits.maxPieces)
    : 0;
  const next = plan.stages
    .filter(({ spec }) => spec.after.includes(stage.index))
    .map((one) =>
      chainMs(catalog, plan, one, waitMs) +
      (one.pieces > 0 ? waitMs(one.spec.pool) : 0)
    );
  return ownMs + Math.max(0, ...next);
}

function bytesOf({ pieces, spec }: PlannedStage): number {
  return pieces * spec.resultBytes;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, one) => total + one, 0);
}

function workOf(
  { req, catalog, times, priority }: StageRun,
  plan: StagePlan,
  stage: PlannedStage,
  waitMs: (pool: string) => number,
): Omit<StageWork, "spentInputs"> {
  const now = monotonicMs();
  const aheadMs = chainMs(catalog, plan, stage, waitMs) + times.ownMs;
  const inputs = plan.inputsOf(stage);
  const segments = Array.from({ length: stage.pieces }, (_, i) => i);
  return {
    pool: stage.spec.pool,
    priority,
    resultBytes: stage.spec.resultBytes,
    isFirst: plan.stages.every((one) => one.pieces === 0 || !one.isStarted),
    dueMs: times.goalAt - now - aheadMs,
    expiresMs: times.deadlineAt - now - aheadMs,
    pieces: segments.map((segment) => ({
      requestId: req.id,
      stage: stage.index,
      segment,
      ...(stage.spec.after.length === 0
        ? { key: req.pieceKey }
        : { inputs: [...inputs] }),
    })),
  };
}

function refusalOf(
  answer: Exclude<StageWorkAnswer, { kind: "done" }>,
): StageRefusal {
  switch (answer.kind) {
    case "refused":
      return { reason: answer.reason, waitMs: answer.waitMs };
    case "input-gone":
      return { reason: "a stage result is gone", waitMs: 0 };
    case "leaving":
      return { reason: "no owner of the pool", waitMs: 0 };
  }
}
