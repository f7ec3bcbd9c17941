/**
 * Work on the pieces of one stage of one request.
 *
 * @module
 */

import type { ResultHandle } from "../serving/mod.ts";
import type { Piece } from "./ports.ts";

/** Pieces of one stage of one request. Times are monotonic milliseconds. */
export interface StageWork {
  readonly pool: string;
  readonly priority: number;
  /** Latest useful start for an answer that earns its full credit. */
  readonly dueAt: number;
  /** Time after which the results are of no use. */
  readonly expiresAt: number;
  /** Room that one result takes, in bytes. */
  readonly resultBytes: number;
  /** Failure domain in which the pieces are best worked on. */
  readonly domain?: string;
  readonly pieces: readonly Piece[];
  /** Called once all targets are likely to have read the inputs. */
  inputsRead(): void;
}

/** How the pieces of a stage ended. */
export type StageEnd =
  | { readonly kind: "done"; readonly results: readonly ResultHandle[] }
  | { readonly kind: "input-gone" }
  | { readonly kind: "refused"; readonly reason: string };

/** Pieces of one stage until they are settled. */
export interface Submission {
  readonly id: string;
  readonly work: StageWork;
  readonly results: (ResultHandle | undefined)[];
  readonly queuedAt: number;
  /** Pieces that no call has taken yet. */
  unsent: number;
  settle?: (end: StageEnd) => void;
}

/** One piece that has to be worked on. */
export interface PieceTask {
  readonly submission: Submission;
  readonly index: number;
  readonly piece: Piece;
  readonly attempts: number;
}

/** End of a stage that was not worked on to its end. */
export function refused(reason: string): StageEnd {
  return { kind: "refused", reason };
}

/** True while the task's result is still wanted. */
export function isOpen({ submission, index }: PieceTask): boolean {
  return submission.settle !== undefined &&
    submission.results[index] === undefined;
}
