/**
 * Batching for pools of batched stages: collects pieces of all requests, forms
 * the calls to each pool's targets, and completes the pieces of a stage as a
 * whole.
 *
 * @module
 */

import type { Result } from "neverthrow";
import { monotonicMs, timeoutSignal, Watchdog } from "../kernel/mod.ts";
import type { RateLimits, TargetPauses } from "../rates/mod.ts";
import {
  NO_ROLLOUTS,
  type ObservedCall,
  type RolloutStages,
} from "../rollout/mod.ts";
import {
  type BatchLimits,
  expectedCallMs,
  type FleetState,
  type ListedTarget,
  QueueForecast,
  type ResultHandle,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import {
  PieceFault,
  type PieceOutcome,
  type PiecesError,
  type TargetClient,
} from "./ports.ts";
import { ResultRelease } from "./result_release.ts";
import { StagePool } from "./stage_pool.ts";
import {
  closeTask,
  hasAttemptLeft,
  isPending,
  nextAttempt,
  openTask,
  type PieceTask,
  queuedPieceOf,
  refused,
  reportSent,
  type StageOutcome,
  type StageWork,
  type Submission,
} from "./stage_work.ts";

/**
 * Multiple of the expected time of a call after which the call counts as slow
 * and its pieces are also sent to other targets.
 */
const SLOW_CALL_RATIO = 2;
/**
 * Shortest time after which a call counts as slow, in milliseconds: this
 * process may take that long to receive a response when it is busy.
 */
const MIN_SLOW_CALL_MS = 250;
/** Multiple of the expected time after which a call times out. */
const CALL_TIMEOUT_RATIO = 8;
/** Most pieces of a call to a target that was slow or failed before. */
const MAX_TRIAL_PIECES = 2;
/**
 * Time after its due time at which a piece is shed from a queue that holds
 * enough other work, in milliseconds.
 */
const SHED_GRACE_MS = 1_200;
/** Shortest delay before the queue is polled again, in milliseconds. */
const MIN_POLL_DELAY_MS = 10;
/** Longest delay before the queue is polled again, in milliseconds. */
const MAX_POLL_DELAY_MS = 250;
/**
 * Time after which an idle target has read the inputs of a call, in
 * milliseconds: a few milliseconds per megabyte plus a round trip between
 * failure domains.
 */
const INPUT_READ_MS = 80;

/** Name under which the calls of a pool are compared. */
const STAGE_CALLS = "stage calls";
const PIECES_FAILED = "pieces failed";

/** Services that batchers use. */
export interface StageBatcherDeps {
  readonly state: () => FleetState;
  /** Targets of a pool that get its calls at a monotonic time. */
  readonly usable: FleetState["usable"];
  readonly client: TargetClient;
  readonly rates: Pick<RateLimits, "waitMs" | "spend" | "isLimited">;
  readonly pauses: Pick<TargetPauses, "waitMs">;
  /** Absent: every usable target may be called. */
  readonly rollouts?: RolloutStages;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Forms the calls to the targets of batched pools. */
export class StageBatcher {
  readonly #state: () => FleetState;
  readonly #usable: FleetState["usable"];
  readonly #client: TargetClient;
  readonly #rates: Pick<RateLimits, "waitMs" | "spend" | "isLimited">;
  readonly #pauses: Pick<TargetPauses, "waitMs">;
  readonly #rollouts: RolloutStages;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #results: ResultRelease;
  readonly #pools = new Map<string, StagePool>();
  #submissions = 0;

  constructor(deps: StageBatcherDeps) {
    this.#state = deps.state;
    this.#usable = deps.usable;
    this.#client = deps.client;
    this.#rates = deps.rates;
    this.#pauses = deps.pauses;
    this.#rollouts = deps.rollouts ?? NO_ROLLOUTS;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#results = new ResultRelease(deps);
  }

  /** Throughput of a pool under load, in pieces per millisecond. */
  rate(name: string): number {
    const limits = this.#limitsOf(name);
    if (!limits) return 0;
    const pool = this.#poolOf(name);
    const now = monotonicMs();
    this.#refreshTargets(pool, now);
    return pool.rate(limits, now);
  }

  /** Expected times of the next calls to a pool's targets. */
  forecast(name: string): QueueForecast {
    const limits = this.#limitsOf(name);
    if (!limits) return new QueueForecast([], 1);
    const pool = this.#poolOf(name);
    const now = monotonicMs();
    this.#refreshTargets(pool, now);
    return pool.forecast(limits, now);
  }

  /** Mean time of a call to a pool's targets, in milliseconds. */
  callMs(name: string): number {
    const limits = this.#limitsOf(name);
    return limits ? this.#poolOf(name).callMs(limits) : 0;
  }

  /**
   * True when pieces wait and some target of the pool lacks the result memory
   * for a full call.
   */
  isResultMemoryScarce(name: string): boolean {
    const limits = this.#limitsOf(name);
    return limits !== undefined &&
      this.#poolOf(name).isResultMemoryScarce(limits, monotonicMs());
  }

  /**
   * Releases results at the targets that hold them; their memory counts as
   * available once the release has ended.
   */
  release(pool: string, results: readonly ResultHandle[]): void {
    this.#release(this.#poolOf(pool), results);
  }

  /**
   * Queues the pieces of one stage of one request; resolves once all have
   * results or the stage has failed.
   */
  submit(work: StageWork, signal: AbortSignal): Promise<StageOutcome> {
    // The listener below would not be called any more.
    if (signal.aborted) return Promise.resolve(refused("given up"));
    const pool = this.#poolOf(work.pool);
    return new Promise((resolve) => {
      const submission: Submission = {
        id: `${work.pieces[0]?.requestId}/${this.#submissions++}`,
        work,
        results: work.pieces.map(() => undefined),
        queuedAt: monotonicMs(),
        unsentPieces: new Set(work.pieces.keys()),
        openTasks: work.pieces.map(() => 1),
        settle: resolve,
      };
      signal.addEventListener(
        "abort",
        () => this.#settle(pool, submission, refused("given up")),
        { once: true },
      );
      this.#enqueue(
        pool,
        work.pieces.map((piece, index) => ({
          submission,
          index,
          piece,
          attempts: 0,
        })),
      );
      this.#dispatch(pool);
    });
  }

  #enqueue(pool: StagePool, tasks: readonly PieceTask[]): void {
    pool.queue = pool.queue.add(tasks.map(queuedPieceOf));
  }

  /**
   * Sends calls while pieces wait and targets are free, and schedules the next
   * poll of the queue.
   */
  #dispatch(pool: StagePool): void {
    clearTimeout(pool.timer);
    const limits = this.#limitsOf(pool.name);
    if (!limits) return this.#discardAll(pool);
    const now = monotonicMs();
    this.#refreshTargets(pool, now);
    this.#discardOverdue(pool, limits, now);
    while (
      !this.#isHeld(pool, limits, now) && this.#trySendCall(pool, limits, now)
    ) continue;
    if (pool.queue.length === 0) return;
    const waitMs = Math.min(
      MAX_POLL_DELAY_MS,
      Math.max(
        MIN_POLL_DELAY_MS,
        Math.min(pool.servers.nextFreeMs(now), pool.queue.nextAnyDomainMs(now)),
      ),
    );
    pool.timer = setTimeout(() => this.#dispatch(pool), waitMs);
  }

  /** Refuses what waits for a pool that the catalog no longer has. */
  #discardAll(pool: StagePool): void {
    const [queue, discarded] = pool.queue.expire(Number.POSITIVE_INFINITY);
    pool.queue = queue;
    const tasks = discarded.map(({ item }) => item);
    this.#closeTasks(pool, tasks, "the pool is not known");
  }

  /** True while the next call waits for more pieces. */
  #isHeld(pool: StagePool, limits: BatchLimits, now: number): boolean {
    const isHeld = pool.queue.length > 0 &&
      pool.holdMs(limits, pool.queue.length, now) > 0;
    pool.heldSince = isHeld ? pool.heldSince ?? now : undefined;
    return isHeld;
  }

  /** Sends a call to one free target; false when none can be sent. */
  #trySendCall(pool: StagePool, limits: BatchLimits, now: number): boolean {
    if (pool.queue.length === 0) return false;
    const targetOf = (id: string) => this.#state().targets.get(id)?.target;
    const domains = new Map<string, number>();
    pool.servers.active(now).forEach(({ id }) => {
      const domain = targetOf(id)?.failureDomain;
      if (domain !== undefined) {
        domains.set(domain, (domains.get(domain) ?? 0) + 1);
      }
    });
    const free = pool.servers.free(limits, now)
      .flatMap(({ id }) => targetOf(id) ?? [])
      .map((target) => ({
        target,
        maxPieces: this.#rollouts.maxPieces(target),
      }));
    // A target with a bound is of a new build, which has to be tried early.
    const isBound = (one: typeof free[number]) =>
      Number.isFinite(one.maxPieces);
    const inOrder = [
      ...free.filter(isBound),
      ...free.filter((one) => !isBound(one)),
    ];
    return inOrder.some(({ target, maxPieces }) => {
      if (maxPieces < 1) return false;
      const { id } = target;
      if (!pool.isWorthCalling(limits, id, now)) return false;
      const isOnTrial = pool.servers.isOnTrial(id);
      const bounds = {
        maxPieces: Math.min(
          isOnTrial ? MAX_TRIAL_PIECES : limits.maxPieces,
          maxPieces,
        ),
        roomBytes: pool.availableBytesAt(limits, id, now),
        domain: target.failureDomain,
        domains,
      };
      // Pieces reserved for other targets must not count towards a full call.
      const eligible = pool.queue.countEligible(bounds, now);
      const [remaining, taken] = pool.queue.take(bounds, now);
      if (taken.length === 0) return false;
      pool.queue = remaining;
      if (eligible >= limits.maxPieces && !isOnTrial) {
        pool.recordCallPieces(limits, taken.length);
      }
      const tasks = taken.map(({ item }) => item).filter(isPending);
      if (tasks.length > 0) this.#call(pool, limits, target, tasks);
      return true;
    });
  }

  #refreshTargets(pool: StagePool, now: number): void {
    const usable = this.#usable(pool.name, now);
    pool.servers = usable.reduce(
      (servers, target) => {
        const waitMs = Math.max(
          this.#rates.waitMs(target.id),
          this.#pauses.waitMs(target),
        );
        return waitMs > 0 ? servers.pause(target.id, now, waitMs) : servers;
      },
      pool.servers.withMembers(usable.map(({ id }) => id)),
    );
  }

  /**
   * Discards expired pieces, and sheds overdue ones while enough others wait
   * that can still be on time.
   */
  #discardOverdue(pool: StagePool, limits: BatchLimits, now: number): void {
    const [unexpired, expired] = pool.queue.expire(now);
    const [queue, overdue] = unexpired.shed(now, {
      graceMs: SHED_GRACE_MS,
      minOnTime: limits.maxPieces * pool.servers.countActive(now),
    });
    pool.queue = queue;
    this.#closeTasks(
      pool,
      [...expired, ...overdue].map(({ item }) => item),
      "its time has passed",
    );
  }

  async #call(
    pool: StagePool,
    limits: BatchLimits,
    target: ListedTarget,
    tasks: readonly PieceTask[],
  ): Promise<void> {
    const now = monotonicMs();
    this.#rates.spend(target.id);
    const expectedMs = expectedCallMs(limits, tasks.length);
    const bytes = tasks
      .reduce((sum, { submission }) => sum + submission.work.resultBytes, 0);
    pool.servers = pool.servers.sent(target.id, limits, tasks.length, now);
    pool.room = pool.room.reserve(target.id, bytes);
    this.#metrics.count("stage_calls_total", { pool: pool.name });
    this.#metrics.count(
      "stage_pieces_total",
      { pool: pool.name },
      tasks.length,
    );
    this.#metrics.count("stage_call_sizes_total", {
      pool: pool.name,
      pieces: String(tasks.length),
    });
    reportSent(tasks, 1);
    this.#scheduleInputsRead(tasks);
    const watchdog = new Watchdog(
      Math.max(MIN_SLOW_CALL_MS, expectedMs * SLOW_CALL_RATIO),
    );
    watchdog.signal.addEventListener("abort", () => {
      if (watchdog.isExpired) this.#onSlowCall(pool, target, tasks);
    });
    const observed = this.#rollouts.observe(target, {
      route: STAGE_CALLS,
      pieces: tasks.length,
      expectedMs,
    });
    observed.reached();
    const outcome = await this.#client.runPieces(
      target,
      tasks.map(({ piece, submission }) => ({
        ...piece,
        remainingMs: Math.max(1, Math.round(submission.work.expiresAt - now)),
      })),
      timeoutSignal(
        Math.max(MIN_SLOW_CALL_MS, expectedMs) * CALL_TIMEOUT_RATIO,
      ),
    );
    recordOutcome(observed, outcome);
    watchdog.end();
    const { isExpired: wasSlow } = watchdog;
    const tookMs = monotonicMs() - now;
    this.#metrics.durations("stage_call", { pool: pool.name }).record(tookMs);
    this.#log.info("stage_call", {
      pool: pool.name,
      target: target.id,
      pieces: tasks.length,
      tookMs: Math.round(tookMs),
      outcome: outcome.isOk() ? "ok" : outcome.error.kind,
      waiting: pool.queue.length,
      usedBytes: pool.room.used(target.id, monotonicMs()),
      roomLeft: Math.round(
        pool.availableBytesAt(limits, target.id, monotonicMs()),
      ),
      faults: outcome.unwrapOr([])
        .flatMap((one) => "fault" in one ? [one.fault] : []).join(","),
    });
    const results = outcome.unwrapOr([]).flatMap((one, i) =>
      "result" in one
        ? [{
          handle: one.result,
          bytes: tasks[i]?.submission.work.resultBytes ?? 0,
        }]
        : []
    );
    pool.room = pool.room
      .settle(target.id, bytes, results, monotonicMs() + limits.resultTtlMs);
    if (outcome.isOk()) {
      const now = monotonicMs();
      pool.recordCallEnd(limits, {
        id: target.id,
        resultCount: results.length,
        tookMs,
        wasSlow,
      }, now);
      const lacksResultMemory = outcome.value.some((one) =>
        "fault" in one && one.fault === PieceFault.ResultMemoryFull
      );
      if (lacksResultMemory) pool.recordOutOfMemory(limits, target.id, now);
      outcome.value.forEach((one, i) =>
        this.#onPieceOutcome(pool, tasks[i], one, wasSlow)
      );
    } else if (wasSlow) {
      this.#closeTasks(pool, tasks, PIECES_FAILED);
    } else {
      this.#onCallFailed(pool, target, tasks, outcome.error);
    }
    this.#dispatch(pool);
  }

  /**
   * Schedules `onInputsRead` for the submissions whose last unsent piece is
   * among `tasks`.
   */
  #scheduleInputsRead(tasks: readonly PieceTask[]): void {
    tasks.forEach(({ submission, index }) =>
      submission.unsentPieces.delete(index)
    );
    const isSent = ({ unsentPieces }: Submission) => unsentPieces.size === 0;
    const sent = [...new Set(tasks.map(({ submission }) => submission))]
      .filter(isSent);
    if (sent.length === 0) return;
    setTimeout(
      () => sent.filter(isSent).forEach(({ work }) => work.onInputsRead()),
      INPUT_READ_MS,
    );
  }

  /** Queues pieces again that a target has not accepted. */
  #enqueueRefused(pool: StagePool, tasks: readonly PieceTask[]): void {
    const pending = tasks.filter(isPending);
    pending.forEach(({ submission, index }) =>
      submission.unsentPieces.add(index)
    );
    reportSent(pending, -1);
    this.#enqueue(pool, pending);
  }

  /**
   * Retries the pieces of a slow call at other targets while it continues. A
   * piece without attempts left waits for its running calls.
   */
  #onSlowCall(
    pool: StagePool,
    target: ListedTarget,
    tasks: readonly PieceTask[],
  ): void {
    this.#log.warn("stage_call_slow", {
      pool: pool.name,
      target: target.id,
      pieces: tasks.length,
    });
    pool.servers = pool.servers.failed(target.id, monotonicMs());
    const repeats = tasks.filter((task) =>
      isPending(task) && hasAttemptLeft(task)
    );
    repeats.forEach(openTask);
    this.#enqueue(pool, repeats.map(nextAttempt));
    this.#dispatch(pool);
  }

  #onCallFailed(
    pool: StagePool,
    target: ListedTarget,
    tasks: readonly PieceTask[],
    error: PiecesError,
  ): void {
    const now = monotonicMs();
    const detail = error.kind === "failed" ? error.detail : undefined;
    this.#log.warn("stage_call_failed", {
      pool: pool.name,
      target: target.id,
      pieces: tasks.length,
      error: error.kind,
      detail,
    });
    if (error.kind === "full") {
      pool.recordCallRefused(target.id, now);
      this.#enqueueRefused(pool, tasks);
      return;
    }
    pool.servers = pool.servers.failed(target.id, now);
    this.#retry(pool, tasks);
  }

  /** Queues pieces again whose tasks failed. */
  #retry(pool: StagePool, tasks: readonly PieceTask[]): void {
    const last = tasks.filter((task) => !hasAttemptLeft(task));
    this.#closeTasks(pool, last, PIECES_FAILED);
    this.#enqueue(
      pool,
      tasks.filter((task) => isPending(task) && hasAttemptLeft(task))
        .map(nextAttempt),
    );
  }

  /** Refuses the submissions of which a piece has no open task left. */
  #closeTasks(
    pool: StagePool,
    tasks: readonly PieceTask[],
    reason: string,
  ): void {
    tasks.filter(closeTask).forEach(({ submission }) =>
      this.#settle(pool, submission, refused(reason))
    );
  }

  #onPieceOutcome(
    pool: StagePool,
    task: PieceTask | undefined,
    outcome: PieceOutcome,
    wasSlow: boolean,
  ): void {
    if (!task) return;
    const { submission, index } = task;
    if ("result" in outcome) {
      if (!isPending(task)) {
        this.#release(pool, [outcome.result]);
        return;
      }
      submission.results[index] = outcome.result;
      const results = submission.results.filter((one) => one !== undefined);
      if (results.length < submission.results.length) return;
      return this.#settle(pool, submission, { kind: "done", results });
    }
    this.#metrics.count("stage_faults_total", {
      pool: pool.name,
      fault: outcome.fault,
    });
    if (outcome.fault === PieceFault.DeadlineExceeded) {
      return this.#settle(pool, submission, refused("its time has passed"));
    }
    if (outcome.fault === PieceFault.InputMissing) {
      return this.#settle(pool, submission, { kind: "input-gone" });
    }
    if (outcome.fault === PieceFault.ResultMemoryFull) {
      return this.#enqueueRefused(pool, [task]);
    }
    if (wasSlow) this.#closeTasks(pool, [task], PIECES_FAILED);
    else this.#retry(pool, [task]);
  }

  async #release(
    pool: StagePool,
    results: readonly ResultHandle[],
  ): Promise<void> {
    const released = await this.#results.release(pool.name, results);
    if (released.length === 0) return;
    pool.room = pool.room.release(released, monotonicMs());
    this.#dispatch(pool);
  }

  #settle(
    pool: StagePool,
    submission: Submission,
    outcome: StageOutcome,
  ): void {
    const { settle } = submission;
    if (!settle) return;
    submission.settle = undefined;
    pool.queue = pool.queue.discard(submission.id);
    if (outcome.kind !== "done") {
      this.#release(
        pool,
        submission.results.filter((one) => one !== undefined),
      );
    }
    this.#metrics.durations("stage", { pool: pool.name, outcome: outcome.kind })
      .record(monotonicMs() - submission.queuedAt);
    settle(outcome);
  }

  #poolOf(name: string): StagePool {
    const existing = this.#pools.get(name);
    if (existing) return existing;
    const created = new StagePool(name);
    this.#pools.set(name, created);
    return created;
  }

  #limitsOf(pool: string): BatchLimits | undefined {
    return this.#state().catalog?.pool(pool)?.batch;
  }
}

/** Records what a call says about the build of its target. */
function recordOutcome(
  observed: ObservedCall,
  outcome: Result<readonly PieceOutcome[], PiecesError>,
): void {
  if (outcome.isErr()) {
    if (outcome.error.kind === "failed") observed.failed();
    else observed.discarded();
    return;
  }
  const hasFailed = outcome.value.some((one) =>
    "fault" in one && one.fault === PieceFault.Failed
  );
  if (hasFailed) observed.failed();
  else observed.succeeded();
}
