/**
 * Owner of the batched pools: collects the pieces of all entries, forms the
 * calls of each pool's targets, and settles each submission as a whole.
 *
 * Ownership is a matter of efficiency only: two owners at the same time form
 * smaller calls, and a piece may be made twice.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  type BatchLimits,
  BatchQueue,
  expectedCallMs,
  type FleetState,
  type ListedTarget,
  type QueuedPiece,
  type ResultHandle,
  ResultRoom,
  StageServers,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { FreeWork, StageWork, StageWorkAnswer } from "../wire/mod.ts";
import {
  type Piece,
  PieceFault,
  type PieceOutcome,
  type PiecesError,
  type TargetClient,
} from "./ports.ts";

/** Calls in which one piece may fail before its request is refused. */
const MAX_PIECE_ATTEMPTS = 3;
/** Multiple of the expected time after which pieces also go elsewhere. */
const SLOW_CALL_RATIO = 2;
/** Multiple of the expected time after which a call is given up. */
const CALL_TIMEOUT_RATIO = 8;
/** Pause for a target that is full, in milliseconds. */
const FULL_PAUSE_MS = 60;
/**
 * Time by which a request of each lower rank has to be earlier to get a place,
 * in milliseconds: the more urgent requests fill the rest of the queue.
 */
const RANK_RESERVE_MS = 120;
/** Time behind its due time at which a piece leaves a full queue, in ms. */
const LATE_TOLERANCE_MS = 300;
/** Shortest wait for a target to become free, in milliseconds. */
const MIN_RETRY_MS = 10;
/** Longest wait until the queue is looked at again, in milliseconds. */
const MAX_RETRY_MS = 250;
/** Slack of the piece whose wait is told to peers, in milliseconds. */
const NEXT_RANK_MS = 500;
/** Longest wait that is told to peers, in milliseconds. */
const MAX_TOLD_WAIT_MS = 10_000;

/**
 * Time after which a call at an idle target has read its inputs, in
 * milliseconds: some milliseconds a megabyte, and a round trip between failure
 * domains.
 */
const INPUTS_READ_MS = 80;

interface Submission {
  readonly id: string;
  readonly work: StageWork;
  readonly dueAt: number;
  readonly expiresAt: number;
  readonly results: (ResultHandle | undefined)[];
  readonly queuedAt: number;
  /** Pieces that no call has taken yet. */
  unsent: number;
  settle?: (answer: StageWorkAnswer) => void;
}

interface PieceTask {
  readonly submission: Submission;
  readonly index: number;
  readonly piece: Piece;
  readonly attempts: number;
}

/** Work of one pool. */
interface PoolWork {
  readonly name: string;
  queue: BatchQueue<PieceTask>;
  servers: StageServers;
  room: ResultRoom;
  timer?: NodeJS.Timeout;
}

/** Forms the calls of the batched pools that this process owns. */
export class StageOwner {
  readonly #state: () => FleetState;
  readonly #client: TargetClient;
  readonly #freeElsewhere: (work: FreeWork) => void;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #pools = new Map<string, PoolWork>();
  #submissions = 0;

  constructor(
    deps: {
      state: () => FleetState;
      client: TargetClient;
      /** Frees results of pools that may have another owner. */
      freeElsewhere: (work: FreeWork) => void;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#state = deps.state;
    this.#client = deps.client;
    this.#freeElsewhere = deps.freeElsewhere;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  /** Waits for a target of the pools that have work, in milliseconds. */
  get waitsMs(): Record<string, number> {
    const now = monotonicMs();
    return Object.fromEntries(
      [...this.#pools.values()].flatMap((pool) => {
        const limits = this.#limits(pool.name);
        if (!limits) return [];
        const rank = { priority: 0, dueAt: now + NEXT_RANK_MS };
        const waitMs = this.#expectedWaitMs(pool, limits, rank, now);
        return [[pool.name, Math.min(MAX_TOLD_WAIT_MS, Math.round(waitMs))]];
      }),
    );
  }

  /** Frees results at their makers; their room counts from the answer on. */
  free({ pool: name, results }: FreeWork): void {
    this.#drop(this.#pool(name), results);
  }

  /** Works on the pieces of one stage of one request. */
  submit(work: StageWork, signal: AbortSignal): Promise<StageWorkAnswer> {
    const limits = this.#limits(work.pool);
    if (!limits) {
      return Promise.resolve(refused("the pool has no batch limits", 0));
    }
    const now = monotonicMs();
    const pool = this.#pool(work.pool);
    const rank = { priority: work.priority, dueAt: now + work.dueMs };
    const waitMs = this.#expectedWaitMs(pool, limits, rank, now);
    if (work.isFirst && waitMs > work.dueMs - RANK_RESERVE_MS * work.priority) {
      this.#metrics.count("stage_refusals_total", { reason: "queue" });
      return Promise.resolve(refused("the queue is too long", waitMs));
    }
    return new Promise((resolve) => {
      const submission: Submission = {
        id: `${work.pieces[0]?.requestId}/${this.#submissions++}`,
        work,
        dueAt: now + work.dueMs,
        expiresAt: now + work.expiresMs,
        results: work.pieces.map(() => undefined),
        queuedAt: now,
        unsent: work.pieces.length,
        settle: resolve,
      };
      signal.addEventListener(
        "abort",
        () => this.#settle(pool, submission, refused("caller has gone", 0)),
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

  /** Time until a piece with this rank and due time is likely to start. */
  #expectedWaitMs(
    pool: PoolWork,
    limits: BatchLimits,
    rank: { readonly priority: number; readonly dueAt: number },
    now: number,
  ): number {
    this.#refresh(pool, now);
    const awake = pool.servers.countAwake(now);
    if (awake === 0) return pool.servers.nextFreeMs(now);
    const ahead = pool.queue.ahead(rank, now);
    const calls = ahead / limits.maxPieces / awake;
    return pool.servers.nextFreeMs(now) +
      calls * expectedCallMs(limits, limits.maxPieces);
  }

  #enqueue(pool: PoolWork, tasks: readonly PieceTask[]): void {
    pool.queue = pool.queue.add(tasks.map((task): QueuedPiece<PieceTask> => ({
      item: task,
      group: task.submission.id,
      priority: task.submission.work.priority,
      dueAt: task.submission.dueAt,
      expiresAt: task.submission.expiresAt,
      bytes: task.submission.work.resultBytes,
      domain: task.submission.work.domain,
    })));
  }

  /** Sends calls while pieces wait and targets are free. */
  #pump(pool: PoolWork): void {
    clearTimeout(pool.timer);
    const limits = this.#limits(pool.name);
    if (!limits) return;
    const now = monotonicMs();
    this.#refresh(pool, now);
    this.#expire(pool, limits, now);
    while (pool.queue.length > 0) {
      const nextBytes = pool.queue.nextBytes(now);
      const roomAt = (id: string) => limits.roomBytes - pool.room.used(id, now);
      const server = pool.servers
        .pick(limits, now, (id) => roomAt(id) >= nextBytes);
      const target = server && this.#state().targets.get(server.id)?.target;
      if (!target) break;
      const [rest, taken] = pool.queue.take({
        maxPieces: limits.maxPieces,
        roomBytes: roomAt(target.id),
        domain: target.failureDomain,
      }, now);
      pool.queue = rest;
      if (taken.length === 0) break;
      const tasks = taken.map(({ item }) => item).filter(isOpen);
      if (tasks.length > 0) this.#call(pool, limits, target, tasks);
    }
    if (pool.queue.length === 0) return;
    const waitMs = Math.min(
      MAX_RETRY_MS,
      Math.max(MIN_RETRY_MS, pool.servers.nextFreeMs(now)),
    );
    pool.timer = setTimeout(() => this.#pump(pool), waitMs);
  }

  #refresh(pool: PoolWork, now: number): void {
    const usable = this.#state().usable(pool.name, now);
    pool.servers = pool.servers.members(usable.map(({ id }) => id));
  }

  /** Drops what is late while others wait that can be on time. */
  #expire(pool: PoolWork, limits: BatchLimits, now: number): void {
    const [valid, expired] = pool.queue.expire(now);
    const [queue, late] = valid.shed(now, {
      graceMs: LATE_TOLERANCE_MS,
      enough: limits.maxPieces * pool.servers.countAwake(now),
    });
    pool.queue = queue;
    const waitMs = this.#expectedWaitMs(pool, limits, {
      priority: 0,
      dueAt: now + NEXT_RANK_MS,
    }, now);
    new Set([...expired, ...late].map(({ item }) => item.submission))
      .forEach((one) =>
        this.#settle(pool, one, refused("its time has passed", waitMs))
      );
  }

  async #call(
    pool: PoolWork,
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
    this.#freeInputs(tasks);
    const isSlow = { value: false };
    const slowTimer = setTimeout(() => {
      isSlow.value = true;
      this.#slow(pool, target, tasks);
    }, expectedMs * SLOW_CALL_RATIO);
    const outcome = await this.#client.runPieces(
      target,
      tasks.map(({ piece, submission }) => ({
        ...piece,
        remainingMs: Math.max(1, Math.round(submission.expiresAt - now)),
      })),
      timeoutSignal(expectedMs * CALL_TIMEOUT_RATIO),
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
      roomLeft: limits.roomBytes - pool.room.used(target.id, monotonicMs()),
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
      const ratio = tookMs / expectedMs;
      pool.servers = isSlow.value
        ? pool.servers
        : pool.servers.answered(target.id, ratio, monotonicMs());
      const isFull = outcome.value.some((one) =>
        "fault" in one && one.fault === PieceFault.NoRoom
      );
      if (isFull) {
        pool.servers = pool.servers.rest(
          target.id,
          monotonicMs(),
          FULL_PAUSE_MS,
        );
      }
      outcome.value.forEach((one, i) => this.#pieceDone(pool, tasks[i], one));
    } else if (!isSlow.value) {
      this.#callFailed(pool, target, tasks, outcome.error);
    }
    this.#pump(pool);
  }

  /**
   * Frees the inputs of submissions of which every piece has been sent, as
   * soon as the targets have read them: they hold room that others wait for.
   */
  #freeInputs(tasks: readonly PieceTask[]): void {
    const first = tasks.filter(({ attempts }) => attempts === 0);
    first.forEach(({ submission }) => submission.unsent -= 1);
    const sent = first.map(({ submission }) => submission)
      .filter(({ unsent, work }) =>
        unsent === 0 && work.spentInputs.length > 0
      );
    if (sent.length === 0) return;
    setTimeout(() => {
      [...new Set(sent)].flatMap(({ work }) => work.spentInputs)
        .forEach((spent) => this.#freeElsewhere(spent));
    }, INPUTS_READ_MS);
  }

  /** A call takes far too long: its pieces also go to another target. */
  #slow(
    pool: PoolWork,
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
    pool: PoolWork,
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
      pool.servers = pool.servers.full(target.id, now, FULL_PAUSE_MS);
      this.#enqueue(pool, tasks.filter(isOpen));
      return;
    }
    pool.servers = pool.servers.failed(target.id, now);
    this.#retry(pool, tasks);
  }

  #retry(pool: PoolWork, tasks: readonly PieceTask[]): void {
    const open = tasks.filter(isOpen);
    open.filter(({ attempts }) => attempts + 1 >= MAX_PIECE_ATTEMPTS)
      .forEach(({ submission }) =>
        this.#settle(pool, submission, refused("pieces failed", 0))
      );
    this.#enqueue(
      pool,
      open.filter(isOpen)
        .map((task) => ({ ...task, attempts: task.attempts + 1 })),
    );
  }

  #pieceDone(
    pool: PoolWork,
    task: PieceTask | undefined,
    outcome: PieceOutcome,
  ): void {
    if (!task) return;
    const { submission, index } = task;
    if ("result" in outcome) {
      if (!isOpen(task)) return this.#drop(pool, [outcome.result]);
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
      return this.#settle(pool, submission, refused("its time has passed", 0));
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
    pool: PoolWork,
    results: readonly ResultHandle[],
  ): Promise<void> {
    if (results.length === 0) return;
    await this.#client.freeResults(results);
    pool.room = pool.room.free(results, monotonicMs());
    this.#pump(pool);
  }

  #settle(
    pool: PoolWork,
    submission: Submission,
    answer: StageWorkAnswer,
  ): void {
    const { settle } = submission;
    if (!settle) return;
    submission.settle = undefined;
    pool.queue = pool.queue.drop(submission.id);
    if (answer.kind !== "done") {
      this.#drop(pool, submission.results.filter((one) => one !== undefined));
    }
    this.#metrics.durations("stage", { pool: pool.name, outcome: answer.kind })
      .record(monotonicMs() - submission.queuedAt);
    settle(answer);
  }

  #pool(name: string): PoolWork {
    const found = this.#pools.get(name);
    if (found) return found;
    const fresh = {
      name,
      queue: new BatchQueue<PieceTask>(),
      servers: new StageServers(),
      room: new ResultRoom(),
    };
    this.#pools.set(name, fresh);
    return fresh;
  }

  #limits(pool: string): BatchLimits | undefined {
    return this.#state().catalog?.pool(pool)?.batch;
  }
}

function refused(reason: string, waitMs: number): StageWorkAnswer {
  return { kind: "refused", reason, waitMs };
}

/** True while the task's result is still wanted. */
function isOpen({ submission, index }: PieceTask): boolean {
  return submission.settle !== undefined &&
    submission.results[index] === undefined;
}
