/**
 * Whether one peer responds, and how fast. The time after which it counts as
 * silent grows with its measured response times: a slow peer is not gone.
 *
 * @module
 */

import { monotonicMs, Watchdog } from "../kernel/mod.ts";

/** Shortest wait for the response of a peer, in milliseconds. */
const MIN_TIMEOUT_MS = 350;
/** Longest such wait, in milliseconds. */
const MAX_TIMEOUT_MS = 2_500;
/** Wait before the first response, in milliseconds. */
const INITIAL_TIMEOUT_MS = 500;
/** Weights of a sample in the mean and the deviation (RFC 6298, 2.3). */
const MEAN_SMOOTHING = 1 / 8;
const DEVIATION_SMOOTHING = 1 / 4;
/** Deviations that a response may take beyond the mean (RFC 6298, 2.3). */
const DEVIATIONS = 4;
/** Shortest time without a response after which a peer is silent, in ms. */
const MIN_SILENCE_MS = 900;
/** Requests that have to stay without a response before that. */
const SILENT_REQUESTS = 2;

/** Observed state of one peer. */
export class PeerHealth {
  isLeaving = false;
  /** True while the peer is asked often, since work depends on it. */
  isWatched = false;
  /** True while a request to the peer is in flight. */
  isAsked = false;
  /** Monotonic time of its start. */
  startedAt: number | undefined;
  /** Monotonic time before which it is not asked again. */
  notBefore = 0;
  #isSilent = false;
  #loss = new AbortController();
  #silence: Watchdog | undefined;
  #meanMs: number | undefined;
  #deviationMs = 0;
  /** Doubles with each request that timed out. */
  #backoff = 1;
  #heardAt = Number.NEGATIVE_INFINITY;

  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** Aborts when the peer becomes silent. */
  get lossSignal(): AbortSignal {
    return this.#loss.signal;
  }

  /** Time since anything was heard of the peer, in milliseconds. */
  get heardAgoMs(): number {
    return monotonicMs() - this.#heardAt;
  }

  /** Longest wait for the response to one request, in milliseconds. */
  get timeoutMs(): number {
    return Math.min(MAX_TIMEOUT_MS, this.#backoff * this.#expectedMs);
  }

  /** Time without a response after which the peer is silent, in ms. */
  get silentAfterMs(): number {
    const ms = Math.min(MAX_TIMEOUT_MS, this.#expectedMs);
    return Math.max(MIN_SILENCE_MS, SILENT_REQUESTS * ms);
  }

  /** Records that a request is sent. */
  asked(): void {
    this.isAsked = true;
    this.#silence ??= new Watchdog(this.silentAfterMs);
  }

  /** Records a response that took `tookMs`; true if the peer was silent. */
  responded(tookMs: number): boolean {
    const deviation = Math.abs(tookMs - (this.#meanMs ?? tookMs));
    this.#deviationMs = this.#meanMs === undefined
      ? tookMs / 2
      : this.#deviationMs +
        DEVIATION_SMOOTHING * (deviation - this.#deviationMs);
    this.#meanMs ??= tookMs;
    this.#meanMs += MEAN_SMOOTHING * (tookMs - this.#meanMs);
    this.#backoff = 1;
    return this.heard();
  }

  /** Records any sign of life; true if the peer was silent. */
  heard(): boolean {
    const wasSilent = this.#isSilent;
    if (wasSilent) this.#loss = new AbortController();
    this.#heardAt = monotonicMs();
    this.#endSilence();
    this.#isSilent = false;
    return wasSilent;
  }

  /** Records that a request failed; true if the peer becomes silent by it. */
  failed(): boolean {
    this.#backoff *= 2;
    return this.#silence?.isExpired === true && this.lost();
  }

  /** Records that the peer is gone; false if it was silent before. */
  lost(): boolean {
    if (this.#isSilent) return false;
    this.#isSilent = true;
    this.#loss.abort();
    return true;
  }

  /** Ends the timers. */
  end(): void {
    this.#endSilence();
  }

  get #expectedMs(): number {
    if (this.#meanMs === undefined) return INITIAL_TIMEOUT_MS;
    const ms = this.#meanMs + DEVIATIONS * this.#deviationMs;
    return Math.max(MIN_TIMEOUT_MS, ms);
  }

  #endSilence(): void {
    this.#silence?.end();
    this.#silence = undefined;
  }
}
