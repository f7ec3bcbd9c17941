/**
 * Fakes of the ports of a gateway, for tests under a paused clock.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { Reachability } from "../crashes/mod.ts";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import {
  addressOf,
  type BatchLimits,
  expectedCallMs,
  FleetState,
  type ListedTarget,
  type ResultHandle,
  type StateChange,
} from "../serving/mod.ts";
import {
  type CallListener,
  type Piece,
  PieceFault,
  type PieceOutcome,
  type PiecesError,
  type RunningCall,
  type TargetCall,
  type TargetClient,
} from "./ports.ts";

/** Behaviour of one fake target of batched stages. */
export interface FakeStageTarget {
  /** Multiple of the usual time of a call. */
  slowdown?: number;
  /** Monotonic time until which calls fail. */
  failsUntil?: number;
}

/** Duration of a call that works on no piece, in milliseconds. */
const EMPTY_CALL_MS = 20;

interface StoredResult {
  readonly bytes: number;
  readonly expiresAt: number;
}

/**
 * Targets of batched stages with result memory; each runs one call at a time.
 */
export class FakeStageTargets implements TargetClient {
  readonly behaviour = new Map<string, FakeStageTarget>();
  /** Number of pieces of all calls, by target. */
  readonly pieces = new Map<string, number>();
  calls = 0;
  faults = 0;
  readonly #limits: (pool: string) => BatchLimits;
  readonly #bytesOf: (piece: Piece) => number;
  readonly #workMs: (pool: string, pieces: readonly Piece[]) => number;
  readonly #stored = new Map<ResultHandle, StoredResult>();
  readonly #busyTargets = new Set<string>();
  #nextResult = 0;

  constructor(
    opts: {
      limits: (pool: string) => BatchLimits;
      /** Memory that the result of a piece takes, in bytes. */
      bytes: (piece: Piece) => number;
      /** Time of a call that works on these pieces; as configured if absent. */
      workMs?: (pool: string, pieces: readonly Piece[]) => number;
    },
  ) {
    this.#limits = opts.limits;
    this.#bytesOf = opts.bytes;
    this.#workMs = opts.workMs ??
      ((pool, pieces) => expectedCallMs(opts.limits(pool), pieces.length));
  }

  /** Number of results that still take memory. */
  get kept(): number {
    const now = monotonicMs();
    return [...this.#stored.values()]
      .filter(({ expiresAt }) => expiresAt > now).length;
  }

  send(_call: TargetCall, _listener: CallListener): RunningCall {
    throw new Error("FakeStageTargets supports runPieces only");
  }

  async runPieces(
    target: ListedTarget,
    pieces: readonly Piece[],
    signal: AbortSignal,
  ): Promise<Result<readonly PieceOutcome[], PiecesError>> {
    const { slowdown = 1, failsUntil = 0 } = this.behaviour.get(target.id) ??
      {};
    if (this.#busyTargets.has(target.id)) return err({ kind: "full" });
    if (monotonicMs() < failsUntil) {
      return err({ kind: "failed", detail: "reset" });
    }
    this.calls += 1;
    const limits = this.#limits(target.pool);
    const outcomes = pieces.map((piece) => this.#start(target, piece, limits));
    this.#busyTargets.add(target.id);
    const worked = pieces.filter((_, i) => "result" in (outcomes[i] ?? {}));
    const workMs = worked.length > 0
      ? this.#workMs(target.pool, worked)
      : EMPTY_CALL_MS;
    await sleep(slowdown * workMs, signal);
    this.#busyTargets.delete(target.id);
    if (signal.aborted) return err({ kind: "failed", detail: "aborted" });
    return ok(outcomes);
  }

  /**
   * Fills memory of a target with a result that no caller of this fake knows.
   */
  storeForeignResult(address: string, bytes: number, forMs: number): void {
    const expiresAt = monotonicMs() + forMs;
    this.#stored.set(`${address}/other-${this.#nextResult++}`, {
      bytes,
      expiresAt,
    });
  }

  freeResults(results: readonly ResultHandle[]): Promise<void> {
    results.forEach((one) => this.#stored.delete(one));
    return Promise.resolve();
  }

  onAnswer(): void {}

  checkReachability(): Promise<Reachability> {
    return Promise.resolve(Reachability.Unknown);
  }

  retainConnections(): void {}

  close(): Promise<void> {
    return Promise.resolve();
  }

  #start(
    target: ListedTarget,
    piece: Piece,
    limits: BatchLimits,
  ): PieceOutcome {
    const now = monotonicMs();
    const isGone = piece.inputs?.some((one) =>
      (this.#stored.get(one)?.expiresAt ?? 0) <= now
    );
    if (isGone) return this.#fault(PieceFault.InputMissing);
    const bytes = this.#bytesOf(piece);
    const used = [...this.#stored]
      .filter(([one, { expiresAt }]) =>
        addressOf(one) === target.address && expiresAt > now
      )
      .reduce((sum, [, kept]) => sum + kept.bytes, 0);
    if (used + bytes > limits.roomBytes) {
      return this.#fault(PieceFault.ResultMemoryFull);
    }
    const result = `${target.address}/${this.#nextResult++}`;
    const expiresAt = now + limits.resultTtlMs;
    this.#stored.set(result, { bytes, expiresAt });
    this.pieces.set(target.id, (this.pieces.get(target.id) ?? 0) + 1);
    return { result };
  }

  #fault(fault: PieceFault): PieceOutcome {
    this.faults += 1;
    return { fault };
  }
}

/** Returns the state after changes at monotonic time 0. */
export function stateOf(changes: readonly StateChange[]): FleetState {
  return new FleetState().apply(changes, 0);
}

/** Pauses of targets that have asked for none. */
export const NO_PAUSES = { waitMs: () => 0 };

/** Limits of targets that name none. */
export const NO_RATE_LIMITS = {
  waitMs: () => 0,
  spend: () => {},
  isLimited: () => false,
};
