/**
 * State that the owner of a batched pool keeps: the queued pieces, the load and
 * speed of the targets, their result memory, and the usual size and time of
 * calls.
 *
 * @module
 */

import {
  type BatchLimits,
  BatchQueue,
  expectedCallMs,
  holdMs,
  QueueForecast,
  ResultMemory,
  StageTargets,
} from "../serving/mod.ts";
import type { PieceTask } from "./stage_work.ts";

/** Pause before the next call to a full target, in milliseconds. */
const FULL_PAUSE_MS = 60;
/**
 * Time for which result memory that another owner occupies counts as used, in
 * milliseconds: about the time of a call, after which that owner's results
 * have been read.
 */
const FOREIGN_RESULTS_MS = 400;
/** Smoothing factor of the moving average of pieces per call under load. */
const CALL_PIECES_SMOOTHING = 0.1;
/** Smoothing factor of the moving average of call times. */
const CALL_MS_SMOOTHING = 0.1;
/**
 * Share of the largest call that calls under load are assumed to carry before
 * the first sample.
 */
const INITIAL_PIECES_SHARE = 0.85;
/**
 * Share of a target's result memory that is used: the size of a result is
 * known only approximately.
 */
const USABLE_MEMORY_SHARE = 0.92;
/**
 * Share of the pieces of a call that have to fit into a target's available
 * result memory; with less, the call is delayed.
 */
const MIN_PIECES_SHARE = 0.5;
/** Longest such delay, in milliseconds. */
const MEMORY_WAIT_MS = 120;

/** A call that ended. */
export interface EndedCall {
  readonly id: string;
  /** Number of results that the call produced. */
  readonly resultCount: number;
  readonly tookMs: number;
  /** True when the call had already been counted as failed for slowness. */
  readonly wasSlow: boolean;
}

/** State of one batched pool. Times are monotonic milliseconds. */
export class StagePool {
  readonly name: string;
  queue = new BatchQueue<PieceTask>();
  servers = new StageTargets();
  room = new ResultMemory();
  timer?: NodeJS.Timeout;
  /** Time since which a call has been held back for more pieces. */
  heldSince?: number;
  #meanPieces?: number;
  #meanCallMs?: number;

  constructor(name: string) {
    this.name = name;
  }

  /** Throughput of the pool under load, in pieces per millisecond. */
  rate(limits: BatchLimits, now: number): number {
    const pieces = this.#meanPieces ?? limits.maxPieces * INITIAL_PIECES_SHARE;
    return this.servers.capacity(now) * limits.slots * pieces /
      expectedCallMs(limits, pieces);
  }

  /** Expected times of the next calls. */
  forecast(limits: BatchLimits, now: number): QueueForecast {
    const perCall = this.#meanPieces ?? limits.maxPieces * INITIAL_PIECES_SHARE;
    return new QueueForecast(
      this.servers.forecast(limits, perCall, now),
      perCall,
    );
  }

  /** Mean time of a call, in milliseconds. */
  callMs(limits: BatchLimits): number {
    return this.#meanCallMs ?? expectedCallMs(limits, limits.maxPieces);
  }

  /** Result memory that is available at a target, in bytes. */
  availableBytesAt(limits: BatchLimits, id: string, now: number): number {
    return limits.roomBytes * USABLE_MEMORY_SHARE - this.room.used(id, now);
  }

  /**
   * True when pieces wait and some target lacks the result memory for a full
   * call.
   */
  isResultMemoryScarce(limits: BatchLimits, now: number): boolean {
    if (this.queue.length === 0) return false;
    const wantedBytes = limits.maxPieces * this.queue.nextBytes(now);
    return this.servers.ids.some((id) =>
      this.availableBytesAt(limits, id, now) < wantedBytes
    );
  }

  /**
   * False when the next result does not fit into a target's result memory, or
   * when so few results fit that waiting a little for memory to be released
   * lets the call carry more of the queued pieces.
   */
  isWorthCalling(limits: BatchLimits, id: string, now: number): boolean {
    const nextBytes = this.queue.nextBytes(now);
    const availableBytes = this.availableBytesAt(limits, id, now);
    if (availableBytes < nextBytes) return false;
    const wantedPieces = Math.min(this.queue.length, limits.maxPieces);
    const pieceCapacity = availableBytes / Math.max(1, nextBytes);
    const idleMs = now - (this.servers.get(id)?.freeAt ?? 0);
    return pieceCapacity >= wantedPieces * MIN_PIECES_SHARE ||
      idleMs >= MEMORY_WAIT_MS;
  }

  /** Time for which to hold back a call of `pieces` pieces, in milliseconds. */
  holdMs(limits: BatchLimits, pieces: number, now: number): number {
    return holdMs({
      pieces,
      maxPieces: limits.maxPieces,
      freeTargets: this.servers.free(limits, now).length,
      activeTargets: this.servers.countActive(now),
      callMs: expectedCallMs(limits, limits.maxPieces),
      slackMs: this.queue.firstDueAt - now,
      heldMs: now - (this.heldSince ?? now),
    });
  }

  /** Records the pieces of a call for which enough pieces were queued. */
  recordCallPieces(limits: BatchLimits, pieces: number): void {
    const previous = this.#meanPieces ??
      limits.maxPieces * INITIAL_PIECES_SHARE;
    this.#meanPieces = previous + CALL_PIECES_SMOOTHING * (pieces - previous);
  }

  /**
   * Records the end and the time of a call. A call without results ends at
   * once, so its time is no sample of the target's speed.
   */
  recordCallEnd(limits: BatchLimits, call: EndedCall, now: number): void {
    const { id, resultCount, tookMs, wasSlow } = call;
    if (resultCount > 0) {
      this.#meanCallMs ??= tookMs;
      this.#meanCallMs += CALL_MS_SMOOTHING * (tookMs - this.#meanCallMs);
    }
    // A slow call was counted as ended when it was found to be slow.
    if (wasSlow) return;
    this.servers = resultCount > 0
      ? this.servers.answered(
        id,
        tookMs / expectedCallMs(limits, resultCount),
        now,
      )
      : this.servers.ended(id, now);
  }

  /**
   * Records that a target has no result memory left although there should be
   * enough by this process's accounting.
   */
  recordOutOfMemory(limits: BatchLimits, id: string, now: number): void {
    const availableBytes = Math.max(0, this.availableBytesAt(limits, id, now));
    this.room = this.room.recordForeignUse(
      id,
      availableBytes,
      now + FOREIGN_RESULTS_MS,
    );
    this.servers = this.servers.pause(id, now, FULL_PAUSE_MS);
  }

  /** Records that a target refused a call because its queue is full. */
  recordCallRefused(id: string, now: number): void {
    this.servers = this.servers.full(id, now, FULL_PAUSE_MS);
  }
}
