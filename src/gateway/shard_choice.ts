/**
 * Chooses the share of a group of stage pools for each chain: of two random
 * ones, that with the shorter wait. The waits are those that answers carried.
 *
 * @module
 */

import { monotonicMs, type Random } from "../kernel/mod.ts";
import { type StageShard, WHOLE_GROUP } from "../serving/mod.ts";

/** Half-life of a known wait, in milliseconds: queues drain meanwhile. */
const WAIT_HALF_LIFE_MS = 500;

interface KnownWait {
  readonly ms: number;
  readonly at: number;
}

/** Known waits of the shares of one group. */
export class ShardChoice {
  readonly #random: Random;
  readonly #waits = new Map<string, KnownWait>();

  constructor(random: Random = Math.random) {
    this.#random = random;
  }

  /** Chooses one of `count` shares, another one than `exclude`. */
  choose(count: number, exclude?: StageShard): StageShard {
    if (count === 1) return WHOLE_GROUP;
    const first = this.#draw(count, exclude?.index);
    const second = this.#draw(count, first.index, exclude?.index);
    return this.waitMs(second) < this.waitMs(first) ? second : first;
  }

  /** Records the wait that the answer of a share's owner carried. */
  observe(shard: StageShard, ms: number): void {
    this.#waits.set(keyOf(shard), { ms, at: monotonicMs() });
  }

  /** Wait that is expected in a share, in milliseconds; 0 if unknown. */
  waitMs(shard: StageShard): number {
    const known = this.#waits.get(keyOf(shard));
    if (!known) return 0;
    return known.ms * 0.5 ** ((monotonicMs() - known.at) / WAIT_HALF_LIFE_MS);
  }

  /** Draws a share that is not excluded; the last one if all are. */
  #draw(
    count: number,
    ...excluded: readonly (number | undefined)[]
  ): StageShard {
    const open = Array.from({ length: count }, (_, index) => index)
      .filter((index) => !excluded.includes(index));
    const index = open[Math.floor(this.#random() * open.length)];
    return { index: index ?? excluded[0] ?? 0, count };
  }
}

function keyOf({ index, count }: StageShard): string {
  return `${index}/${count}`;
}
