/**
 * Calls of the batched pools: collects pieces of all requests, forms the calls
 * of each pool's targets, and settles the pieces of a stage as a whole.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  type BatchLimits,
  expectedCallMs,
  type FleetState,
  type ListedTarget,
  type QueuedPiece,
  type ResultHandle,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import {
  PieceFault,
  type PieceOutcome,
  type PiecesError,
  type TargetClient,
} from "./ports.ts";
import { StagePool } from "./stage_pool.ts";
import {
  isOpen,
  type PieceTask,
  refused,
  type StageEnd,
  type StageWork,
  type Submission,
} from "./stage_work.ts";

/** Calls in which one piece may fail before its request is refused. */
const MAX_PIECE_ATTEMPTS = 3;
/** Multiple of the expected time after which pieces also go elsewhere. */
const SLOW_CALL_RATIO = 2;
/**
 * Shortest time after which they do, in milliseconds: a busy process may take
 * as long to hear an answer.
 */
const MIN_SLOW_CALL_MS = 250;
/** Multiple of the expected time after which a call is given up. */
const CALL_TIMEOUT_RATIO = 8;
/** Pieces of a call to a target that was slow or failed before. */
const TRIAL_PIECES = 2;
/** Time behind its due time at which a piece leaves a full queue, in ms. */
const LATE_TOLERANCE_MS = 1_200;
/** Shortest wait for a target to become free, in milliseconds. */
const MIN_RETRY_MS = 10;
/** Longest wait until the queue is looked at again, in milliseconds. */
const MAX_RETRY_MS = 250;
/**
 * Longest time for which a piece waits for a target beside its data, in
 * milliseconds: about a call, after which such a target is free as a rule.
 */
const NEAR_WAIT_MS = 450;
/** Time before a piece is due at which it waits no longer, in milliseconds. */
const NEAR_RESERVE_MS = 100;

/**
 * Time after which a call at an idle target has read its inputs, in
 * milliseconds: some milliseconds a megabyte, and a round trip between failure
 * domains.
 */
const INPUTS_READ_MS = 80;

/** Forms the calls of batched pools. */
export class StageBatcher {
  readonly #state: () => FleetState;
  readonly #client: TargetClient;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #pools = new Map<string, StagePool>();
  #submissions = 0;

  constructor(
    deps: {
      state: () => FleetState;
      client: TargetClient;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#state = deps.state;
    this.#client = deps.client;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  /** Pieces that a pool works on under load, in pieces a millisecond. */
  rate(name: string): number {
    const limits = this.#limits(name);
    if (!limits) return 0;
    const pool = this.#pool(name);
    const now = monotonicMs();
    this.#refresh(pool, now);
    return pool.rate(limits, now);
  }

  /** Usual time of a call of a pool, in milliseconds. */
  callMs(name: string): number {
    const limits = this.#limits(name);
    return limits ? this.#pool(name).callMs(limits) : 0;
  }

  /** True when pieces wait for room rather than for targets. */
  isRoomScarce(name: string): boolean {
    const limits = this.#limits(name);
    return limits !== undefined &&
      this.#pool(name).isRoomScarce(limits, monotonicMs());
  }

  /** Frees results at their makers; their room counts from the answer on. */
  free(pool: string, results: readonly ResultHandle[]): void {
    this.#drop(this.#pool(pool), results);
  }

  /** Works on the pieces of one stage of one request. */
  submit(work: StageWork, signal: AbortSignal): Promise<StageEnd> {
    const pool = this.#pool(work.pool);
    return new Promise((resolve) => {
      const submission: Submission = {
        id: `${work.pieces[0]?.requestId}/${this.#submissions++}`,
        work,
        results: work.pieces.map(() => undefined),
        queuedAt: monotonicMs(),
        unsent: work.pieces.length,
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
      this.#pump(pool);
    });
  }

  #enqueue(pool: StagePool, tasks: readonly PieceTask[]): void {
    pool.queue = pool.queue.add(tasks.map((task): QueuedPiece<PieceTask> => ({
      item: task,
      group: task.submission.id,
      priority: task.submission.work.priority,
      dueAt: task.submission.work.dueAt,
      expiresAt: task.submission.work.expiresAt,
      bytes: task.submission.work.resultBytes,
      domain: task.submission.work.domain,
      anywhereAt: task.attempts > 0 ? 0 : Math.min(
        task.submission.queuedAt + NEAR_WAIT_MS,
        task.submission.work.dueAt - NEAR_RESERVE_MS,
      ),
    })));
  }

  /** Sends calls while pieces wait and targets are free. */
  #pump(pool: StagePool): void {
    clearTimeout(pool.timer);
    const limits = this.#limits(pool.name);
    if (!limits) return;
    const now = monotonicMs();
    this.#refresh(pool, now);
    this.#expire(pool, limits, now);
    while (this.#sendCall(pool, limits, now)) continue;
    if (pool.queue.length === 0) return;
    const waitMs = Math.min(
      MAX_RETRY_MS,
      Math.max(
        MIN_RETRY_MS,
        Math.min(pool.servers.nextFreeMs(now), pool.queue.nextAnywhereMs(now)),
      ),
    );
    pool.timer = setTimeout(() => this.#pump(pool), waitMs);
  }

  /** Sends a call to one free target; false when there is none to send. */
  #sendCall(pool: StagePool, limits: BatchLimits, now: number): boolean {
    if (pool.queue.length === 0) return false;
    const targetOf = (id: string) => this.#state().targets.get(id)?.target;
    const domains = new Map<string, number>();
    pool.servers.awake(now).forEach(({ id }) => {
      const domain = targetOf(id)?.failureDomain;
      if (domain !== undefined) {
        domains.set(domain, (domains.get(domain) ?? 0) + 1);
      }
    });
    return pool.servers.free(limits, now).some(({ id }) => {
      const target = targetOf(id);
      if (!target) return false;
      if (!pool.isWorthCalling(limits, id, now)) return false;
      const isOnTrial = pool.servers.isOnTrial(id);
      const bounds = {
        maxPieces: isOnTrial ? TRIAL_PIECES : limits.maxPieces,
        roomBytes: pool.roomAt(limits, id, now),
        domain: target.failureDomain,
        domains,
      };
      // Pieces that are kept for other targets do not make a call full.
      const open = pool.queue.countOpen(bounds, now);
      const [rest, taken] = pool.queue.take(bounds, now);
      if (taken.length === 0) return false;
      pool.queue = rest;
      if (open >= limits.maxPieces && !isOnTrial) {
        pool.noteFill(limits, taken.length);
      }
      const tasks = taken.map(({ item }) => item).filter(isOpen);
      if (tasks.length > 0) this.#call(pool, limits, target, tasks);
      return true;
    });
  }

  #refresh(pool: StagePool, now: number): void {
    const usable = this.#state().usable(pool.name, now);
    pool.servers = pool.servers.members(usable.map(({ id }) => id));
  }

  /** Drops what is late while others wait that can be on time. */
  #expire(pool: StagePool, limits: BatchLimits, now: number): void {
    const [valid, expired] = pool.queue.expire(now);
    const [queue, late] = valid.shed(now, {
      graceMs: LATE_TOLERANCE_MS,
      enough: limits.maxPieces * pool.servers.countAwake(now),
    });
    pool.queue = queue;
    new Set([...expired, ...late].map(({ item }) => item.submission))
      .forEach((one) =>
        this.#settle(pool, one, refused("its time has passed"))
      );
  }

  async #call(
    pool: StagePool,
    limits: BatchLimits,
    target: ListedTarget,
    tasks: readonly PieceTask[],
  ): Promise<void> {
    const now = monotonicMs();
    const expectedMs = expectedCallMs(limits, tasks.length);
    const bytes = tasks
      .reduce((sum, { submission }) => sum + submission.work.resultBytes, 0);
    pool.servers = pool.servers.sent(target.id, limits, tasks.length, now);
    pool.room = pool.room.promise(target.id, bytes);
    this.#metrics.count("stage_calls_total", { pool: pool.name });
    this.#metrics.count(
      "stage_pieces_total",
      { pool: pool.name },
      tasks.length,
    );
    this.#noteInputs(tasks);
    const isSlow = { value: false };
    const slowTimer = setTimeout(() => {
      isSlow.value = true;
      this.#slow(pool, target, tasks);
    }, Math.max(MIN_SLOW_CALL_MS, expectedMs * SLOW_CALL_RATIO));
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
    clearTimeout(slowTimer);
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
        pool.roomAt(limits, target.id, monotonicMs()),
      ),
      faults: outcome.unwrapOr([])
        .flatMap((one) => "fault" in one ? [one.fault] : []).join(","),
    });
    const made = outcome.unwrapOr([]).flatMap((one, i) =>
      "result" in one
        ? [{
          handle: one.result,
          bytes: tasks[i]?.submission.work.resultBytes ?? 0,
        }]
        : []
    );
    pool.room = pool.room
      .settle(target.id, bytes, made, monotonicMs() + limits.resultTtlMs);
    if (outcome.isOk()) {
      const now = monotonicMs();
      pool.noteEnd(limits, {
        id: target.id,
        made: made.length,
        tookMs,
        wasSlow: isSlow.value,
      }, now);
      const isFull = outcome.value.some((one) =>
        "fault" in one && one.fault === PieceFault.NoRoom
      );
      if (isFull) pool.noteNoRoom(limits, target.id, now);
      outcome.value.forEach((one, i) => this.#pieceDone(pool, tasks[i], one));
    } else if (!isSlow.value) {
      this.#callFailed(pool, target, tasks, outcome.error);
    }
    this.#pump(pool);
  }

  /** Tells submissions of which every piece was sent that inputs are read. */
  #noteInputs(tasks: readonly PieceTask[]): void {
    const first = tasks.filter(({ attempts }) => attempts === 0);
    first.forEach(({ submission }) => submission.unsent -= 1);
    const sent = new Set(
      first.map(({ submission }) => submission)
        .filter(({ unsent }) => unsent === 0),
    );
    if (sent.size === 0) return;
    setTimeout(
      () => sent.forEach(({ work }) => work.inputsRead()),
      INPUTS_READ_MS,
    );
  }

  /** A call takes far too long: its pieces also go to another target. */
  #slow(
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
    this.#retry(pool, tasks);
    this.#pump(pool);
  }

  #callFailed(
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
      pool.noteFull(target.id, now);
      this.#enqueue(pool, tasks.filter(isOpen));
      return;
    }
    pool.servers = pool.servers.failed(target.id, now);
    this.#retry(pool, tasks);
  }

  #retry(pool: StagePool, tasks: readonly PieceTask[]): void {
    const open = tasks.filter(isOpen);
    open.filter(({ attempts }) => attempts + 1 >= MAX_PIECE_ATTEMPTS)
      .forEach(({ submission }) =>
        this.#settle(pool, submission, refused("pieces failed"))
      );
    this.#enqueue(
      pool,
      open.filter(isOpen)
        .map((task) => ({ ...task, attempts: task.attempts + 1 })),
    );
  }

  #pieceDone(
    pool: StagePool,
    task: PieceTask | undefined,
    outcome: PieceOutcome,
  ): void {
    if (!task) return;
    const { submission, index } = task;
    if ("result" in outcome) {
      if (!isOpen(task)) {
        this.#drop(pool, [outcome.result]);
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
    if (outcome.fault === PieceFault.Late) {
      return this.#settle(pool, submission, refused("its time has passed"));
    }
    if (outcome.fault === PieceFault.InputGone) {
      return this.#settle(pool, submission, { kind: "input-gone" });
    }
    if (outcome.fault === PieceFault.NoRoom) {
      if (isOpen(task)) this.#enqueue(pool, [task]);
      return;
    }
    this.#retry(pool, [task]);
  }

  async #drop(
    pool: StagePool,
    results: readonly ResultHandle[],
  ): Promise<void> {
    if (results.length === 0) return;
    await this.#client.freeResults(results);
    pool.room = pool.room.free(results, monotonicMs());
    this.#pump(pool);
  }

  #settle(
    pool: StagePool,
    submission: Submission,
    end: StageEnd,
  ): void {
    const { settle } = submission;
    if (!settle) return;
    submission.settle = undefined;
    pool.queue = pool.queue.drop(submission.id);
    if (end.kind !== "done") {
      this.#drop(pool, submission.results.filter((one) => one !== undefined));
    }
    this.#metrics.durations("stage", { pool: pool.name, outcome: end.kind })
      .record(monotonicMs() - submission.queuedAt);
    settle(end);
  }

  #pool(name: string): StagePool {
    const found = this.#pools.get(name);
    if (found) return found;
    const fresh = new StagePool(name);
    this.#pools.set(name, fresh);
    return fresh;
  }

  #limits(pool: string): BatchLimits | undefined {
    return this.#state().catalog?.pool(pool)?.batch;
  }
}
