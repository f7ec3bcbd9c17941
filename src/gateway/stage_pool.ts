/**
 * What the owner of a batched pool knows of its work: the pieces that wait,
 * the targets with their speed, the room for results, and how much calls
 * carry.
 *
 * @module
 */

import {
  type BatchLimits,
  BatchQueue,
  expectedCallMs,
  ResultRoom,
  StageServers,
} from "../serving/mod.ts";
import type { PieceTask } from "./stage_work.ts";

/** Pause for a target that is full, in milliseconds. */
const FULL_PAUSE_MS = 60;
/**
 * Time for which a target without room counts as full, in milliseconds: about
 * a call, after which another owner's results are read.
 */
const FOREIGN_ROOM_MS = 400;
/** Gain of the moving mean of the pieces of calls under load. */
const FILL_GAIN = 0.1;
/** Gain of the moving mean of the times of calls. */
const CALL_MS_GAIN = 0.1;
/** Share of the largest call that is expected under load at first. */
const INITIAL_FILL = 0.85;
/**
 * Share of the room that is used: the size of results is known approximately.
 */
const ROOM_SHARE = 0.92;
/** Share of the largest call for which a call waits until there is room. */
const WORTHWHILE_SHARE = 0.5;
/** Longest such wait, in milliseconds. */
const ROOM_WAIT_MS = 120;

/** A call that ended. */
export interface EndedCall {
  readonly id: string;
  /** Results that it made. */
  readonly made: number;
  readonly tookMs: number;
  /** True when it was given up as slow before. */
  readonly wasSlow: boolean;
}

/** Work of one pool. Times are monotonic milliseconds. */
export class StagePool {
  readonly name: string;
  queue = new BatchQueue<PieceTask>();
  servers = new StageServers();
  room = new ResultRoom();
  timer?: NodeJS.Timeout;
  #fill?: number;
  #callMs?: number;

  constructor(name: string) {
    this.name = name;
  }

  /** Pieces that the pool works on under load, in pieces a millisecond. */
  rate(limits: BatchLimits, now: number): number {
    const fill = this.#fill ?? limits.maxPieces * INITIAL_FILL;
    return this.servers.capacity(now) * limits.slots * fill /
      expectedCallMs(limits, fill);
  }

  /** Usual time of a call, in milliseconds. */
  callMs(limits: BatchLimits): number {
    return this.#callMs ?? expectedCallMs(limits, limits.maxPieces);
  }

  /** Bytes that a target has left for results. */
  roomAt(limits: BatchLimits, id: string, now: number): number {
    return limits.roomBytes * ROOM_SHARE - this.room.used(id, now);
  }

  /** True when pieces wait for room rather than for targets. */
  isRoomScarce(limits: BatchLimits, now: number): boolean {
    if (this.queue.length === 0) return false;
    const wanted = limits.maxPieces * this.queue.nextBytes(now);
    return this.servers.ids.some((id) => this.roomAt(limits, id, now) < wanted);
  }

  /**
   * False when a target has no room for the next result, or so little that a
   * call would carry few pieces although many wait and room is soon freed.
   */
  isWorthCalling(limits: BatchLimits, id: string, now: number): boolean {
    const nextBytes = this.queue.nextBytes(now);
    const room = this.roomAt(limits, id, now);
    if (room < nextBytes) return false;
    const wanted = Math.min(this.queue.length, limits.maxPieces);
    const fits = room / Math.max(1, nextBytes);
    const sinceMs = now - (this.servers.get(id)?.freeAt ?? 0);
    return fits >= wanted * WORTHWHILE_SHARE || sinceMs >= ROOM_WAIT_MS;
  }

  /** Notes the pieces of a call that could have been full. */
  noteFill(limits: BatchLimits, pieces: number): void {
    const before = this.#fill ?? limits.maxPieces * INITIAL_FILL;
    this.#fill = before + FILL_GAIN * (pieces - before);
  }

  /**
   * Takes the time of a call into account. One of which no piece was worked on
   * ends at once and says nothing of the target's speed.
   */
  noteEnd(limits: BatchLimits, call: EndedCall, now: number): void {
    const { id, made, tookMs, wasSlow } = call;
    if (made > 0) {
      this.#callMs ??= tookMs;
      this.#callMs += CALL_MS_GAIN * (tookMs - this.#callMs);
    }
    // A slow call was counted as ended when it was given up.
    if (wasSlow) return;
    this.servers = made > 0
      ? this.servers.answered(id, tookMs / expectedCallMs(limits, made), now)
      : this.servers.ended(id, now);
  }

  /** A target has no room although results that this process knows fit. */
  noteNoRoom(limits: BatchLimits, id: string, now: number): void {
    const left = Math.max(0, this.roomAt(limits, id, now));
    this.room = this.room.lacks(id, left, now + FOREIGN_ROOM_MS);
    this.servers = this.servers.rest(id, now, FULL_PAUSE_MS);
  }

  /** A target refused a call since others wait there. */
  noteFull(id: string, now: number): void {
    this.servers = this.servers.full(id, now, FULL_PAUSE_MS);
  }
}
