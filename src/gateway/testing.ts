/**
 * Fakes at the ports of a gateway, for tests under a paused clock.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
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

/** How one fake target of batched stages behaves. */
export interface FakeStageTarget {
  /** Multiple of the usual time of a call. */
  slowness?: number;
  /** Calls fail until this monotonic time. */
  failsUntil?: number;
}

/** Time of a call of which no piece is worked on, in milliseconds. */
const NOTHING_MADE_MS = 20;

interface Kept {
  readonly bytes: number;
  readonly expiresAt: number;
}

/** Targets of batched stages with room for results, one call at a time. */
export class FakeStageTargets implements TargetClient {
  readonly behaviour = new Map<string, FakeStageTarget>();
  /** Pieces of all calls by target. */
  readonly pieces = new Map<string, number>();
  calls = 0;
  faults = 0;
  readonly #limits: (pool: string) => BatchLimits;
  readonly #bytes: (piece: Piece) => number;
  readonly #kept = new Map<ResultHandle, Kept>();
  readonly #busy = new Set<string>();
  #made = 0;

  constructor(
    opts: {
      limits: (pool: string) => BatchLimits;
      /** Room that the result of a piece takes. */
      bytes: (piece: Piece) => number;
    },
  ) {
    this.#limits = opts.limits;
    this.#bytes = opts.bytes;
  }

  /** Results that still take room. */
  get kept(): number {
    const now = monotonicMs();
    return [...this.#kept.values()]
      .filter(({ expiresAt }) => expiresAt > now).length;
  }

  send(_call: TargetCall, _listener: CallListener): RunningCall {
    throw new Error("Only pieces are served");
  }

  async runPieces(
    target: ListedTarget,
    pieces: readonly Piece[],
    signal: AbortSignal,
  ): Promise<Result<readonly PieceOutcome[], PiecesError>> {
    const { slowness = 1, failsUntil = 0 } = this.behaviour.get(target.id) ??
      {};
    if (this.#busy.has(target.id)) return err({ kind: "full" });
    if (monotonicMs() < failsUntil) {
      return err({ kind: "failed", detail: "reset" });
    }
    this.calls += 1;
    const limits = this.#limits(target.pool);
    const outcomes = pieces.map((piece) => this.#start(target, piece, limits));
    this.#busy.add(target.id);
    const made = outcomes.filter((one) => "result" in one).length;
    const workMs = made > 0 ? expectedCallMs(limits, made) : NOTHING_MADE_MS;
    await sleep(slowness * workMs, signal);
    this.#busy.delete(target.id);
    if (signal.aborted) return err({ kind: "failed", detail: "aborted" });
    return ok(outcomes);
  }

  /** Takes room at a target for results that no caller of this fake knows. */
  keepForeign(address: string, bytes: number, forMs: number): void {
    const expiresAt = monotonicMs() + forMs;
    this.#kept.set(`${address}/other-${this.#made++}`, { bytes, expiresAt });
  }

  freeResults(results: readonly ResultHandle[]): Promise<void> {
    results.forEach((one) => this.#kept.delete(one));
    return Promise.resolve();
  }

  keepOnly(): void {}

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
      (this.#kept.get(one)?.expiresAt ?? 0) <= now
    );
    if (isGone) return this.#fault(PieceFault.InputGone);
    const bytes = this.#bytes(piece);
    const used = [...this.#kept]
      .filter(([one, { expiresAt }]) =>
        addressOf(one) === target.address && expiresAt > now
      )
      .reduce((sum, [, kept]) => sum + kept.bytes, 0);
    if (used + bytes > limits.roomBytes) {
      return this.#fault(PieceFault.NoRoom);
    }
    const result = `${target.address}/${this.#made++}`;
    const expiresAt = now + limits.resultTtlMs;
    this.#kept.set(result, { bytes, expiresAt });
    this.pieces.set(target.id, (this.pieces.get(target.id) ?? 0) + 1);
    return { result };
  }

  #fault(fault: PieceFault): PieceOutcome {
    this.faults += 1;
    return { fault };
  }
}

/** State after changes at monotonic time 0. */
export function stateOf(changes: readonly StateChange[]): FleetState {
  return new FleetState().apply(changes, 0);
}
