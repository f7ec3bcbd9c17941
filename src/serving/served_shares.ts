/**
 * Share of the chains of each kind that are served, so that no kind is starved
 * by more urgent or smaller ones.
 *
 * @module
 */

/** Share of the served chains of all kinds below which a kind is starved. */
const STARVED_SHARE = 0.4;
/** Smoothing factor of a kind's share. */
const KIND_SMOOTHING = 0.02;
/** Smoothing factor of the share of all kinds. */
const ALL_SMOOTHING = 0.005;

/** Moving averages of the served shares. Immutable. */
export class ServedShares {
  readonly #kinds: ReadonlyMap<string, number>;
  readonly #all: number;

  constructor(kinds: ReadonlyMap<string, number> = new Map(), all = 1) {
    this.#kinds = kinds;
    this.#all = all;
  }

  /** Returns the share of a kind that was served. */
  shareOf(kind: string): number {
    return this.#kinds.get(kind) ?? 1;
  }

  /** True when a kind is served far less often than all together. */
  isStarved(kind: string): boolean {
    return this.shareOf(kind) < STARVED_SHARE * this.#all;
  }

  /** Returns the state after a chain was served, or refused or displaced. */
  observe(kind: string, isServed: boolean): ServedShares {
    const share = this.shareOf(kind);
    const kinds = new Map(this.#kinds).set(
      kind,
      share + KIND_SMOOTHING * (Number(isServed) - share),
    );
    const all = this.#all + ALL_SMOOTHING * (Number(isServed) - this.#all);
    return new ServedShares(kinds, all);
  }

  /** Returns the state after a chain that was counted as served is displaced. */
  withdraw(kind: string): ServedShares {
    const share = this.shareOf(kind) - KIND_SMOOTHING;
    return new ServedShares(
      new Map(this.#kinds).set(kind, Math.max(0, share)),
      Math.max(0, this.#all - ALL_SMOOTHING),
    );
  }
}
