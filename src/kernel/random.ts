/**
 * Seeded random numbers.
 *
 * @module
 */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/** Source of numbers that are uniform in [0, 1). */
export type Random = () => number;

/** Source whose numbers follow from `seed`. */
export function seededRandom(seed: number): Random {
  const source = xoroshiro128plus(seed);
  return () => (source.next() >>> 0) / UINT32_RANGE;
}
