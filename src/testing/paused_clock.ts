/**
 * Runs a program under a paused clock and with seeded random numbers, so that
 * it takes no notice of how busy the machine is and runs the same for the same
 * seed.
 *
 * @module
 */

import { install } from "@sinonjs/fake-timers";
import { seededRandom } from "../kernel/mod.ts";

/** Wall-clock time at the start, in milliseconds since the epoch. */
const START_MS = 1_700_000_000_000;
/** Kept from before the clock is paused. */
const nativeImmediate = setImmediate;

/** Runs `program` with a clock that moves on only when nothing else is to do. */
export async function underPausedClock<T>(
  program: () => Promise<T>,
  opts: { seed: number },
): Promise<T> {
  const clock = install({
    now: START_MS,
    toFake: [
      "setTimeout",
      "clearTimeout",
      "setInterval",
      "clearInterval",
      "Date",
      "performance",
    ],
  });
  const nativeRandom = Math.random;
  Math.random = seededRandom(opts.seed);
  try {
    let ended = false;
    const result = program().finally(() => ended = true);
    result.catch(() => {});
    await settled();
    while (!ended) {
      clock.next();
      await settled();
    }
    return await result;
  } finally {
    Math.random = nativeRandom;
    clock.uninstall();
  }
}

/** Resolves when every promise that can go on has done so. */
function settled(): Promise<void> {
  return new Promise((resolve) => nativeImmediate(resolve));
}
