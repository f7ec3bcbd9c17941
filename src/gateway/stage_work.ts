/**
 * Pieces of one stage of one request, from submission to outcome.
 *
 * @module
 */

import type { QueuedPiece, ResultHandle } from "../serving/mod.ts";
import type { Piece } from "./ports.ts";

/** Failures of one piece after which its request is refused. */
const MAX_PIECE_ATTEMPTS = 3;
/**
 * Longest time for which a piece waits for a target in the failure domain of
 * its data, in milliseconds: about the time of a call, after which such a
 * target is usually free.
 */
const SAME_DOMAIN_WAIT_MS = 450;
/** Time before a piece's due time at which that wait ends, in milliseconds. */
const SAME_DOMAIN_RESERVE_MS = 100;

/** Pieces of one stage of one request. Times are monotonic milliseconds. */
export interface StageWork {
  readonly pool: string;
  readonly priority: number;
  /** Latest start with which the request can still meet its latency goal. */
  readonly dueAt: number;
  /** Latest start with which the results are still of use. */
  readonly expiresAt: number;
  /** True when the request resumes a stream. */
  readonly isResumed?: boolean;
  /** Size of one result, in bytes. */
  readonly resultBytes: number;
  /** Preferred failure domain of the targets that work on the pieces. */
  readonly domain?: string;
  readonly pieces: readonly Piece[];
  /**
   * Called when pieces are sent to a target, and with a negative number when
   * the target has not accepted them.
   */
  onSent?(pieces: number): void;
  /** Called once the targets are expected to have read the inputs. */
  onInputsRead(): void;
}

/** Outcome of the pieces of a stage. */
export type StageOutcome =
  | { readonly kind: "done"; readonly results: readonly ResultHandle[] }
  | { readonly kind: "input-gone" }
  | { readonly kind: "refused"; readonly reason: string };

/** Pieces of one stage until their outcome is known. */
export interface Submission {
  readonly id: string;
  readonly work: StageWork;
  readonly results: (ResultHandle | undefined)[];
  readonly queuedAt: number;
  /** Indexes of the pieces that no target has accepted yet. */
  readonly unsentPieces: Set<number>;
  /** Number of tasks that are queued or running, by piece. */
  readonly openTasks: number[];
  /** Reports the outcome; undefined once that is done. */
  settle?: (outcome: StageOutcome) => void;
}

/** One queued or running piece of a submission. */
export interface PieceTask {
  readonly submission: Submission;
  readonly index: number;
  readonly piece: Piece;
  /** Calls in which the piece failed so far. */
  readonly attempts: number;
}

/** Outcome of a stage that was refused or abandoned. */
export function refused(reason: string): StageOutcome {
  return { kind: "refused", reason };
}

/** Records that a task is queued besides those of its piece that are open. */
export function openTask({ submission, index }: PieceTask): void {
  submission.openTasks[index] = (submission.openTasks[index] ?? 0) + 1;
}

/**
 * Records that a task has ended without a result. Returns true when its piece
 * has no open task left, so that it gets no result any more.
 */
export function closeTask(task: PieceTask): boolean {
  const { submission: { openTasks }, index } = task;
  openTasks[index] = (openTasks[index] ?? 0) - 1;
  return isPending(task) && openTasks[index] <= 0;
}

/** True while the piece has no result and its submission is not settled. */
export function isPending({ submission, index }: PieceTask): boolean {
  return submission.settle !== undefined &&
    submission.results[index] === undefined;
}

/** Returns the entry of a task in the queue of its pool. */
export function queuedPieceOf(task: PieceTask): QueuedPiece<PieceTask> {
  return {
    item: task,
    group: task.submission.id,
    priority: task.submission.work.priority,
    dueAt: task.submission.work.dueAt,
    expiresAt: task.submission.work.expiresAt,
    isResumed: task.submission.work.isResumed,
    bytes: task.submission.work.resultBytes,
    domain: task.submission.work.domain,
    anyDomainAt: task.attempts > 0 ? 0 : Math.min(
      task.submission.queuedAt + SAME_DOMAIN_WAIT_MS,
      task.submission.work.dueAt - SAME_DOMAIN_RESERVE_MS,
    ),
  };
}

/** Reports to the owners of the tasks that each was sent, or has returned. */
export function reportSent(tasks: readonly PieceTask[], pieces: 1 | -1): void {
  tasks.forEach(({ submission }) => submission.work.onSent?.(pieces));
}

/** False once a piece has failed as often as it may. */
export function hasAttemptLeft({ attempts }: PieceTask): boolean {
  return attempts + 1 < MAX_PIECE_ATTEMPTS;
}

/** Returns the task for the next call after a failed one. */
export function nextAttempt(task: PieceTask): PieceTask {
  return { ...task, attempts: task.attempts + 1 };
}
