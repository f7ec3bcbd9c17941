/**
 * Seeded pseudo-random numbers.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/** Returns a number that is uniformly distributed in [0, 1). */
export type Random = () => number;

/** Returns a generator that is determined by `seed`. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
