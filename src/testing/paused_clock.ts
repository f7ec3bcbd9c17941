/**
 * Runs a program under a simulated clock and with seeded random numbers, so
 * that its behaviour depends on the seed only and not on the machine's load.
 *
 * @module
 */

import { install } from "@sinonjs/fake-timers";
import { seededRandom } from "../kernel/mod.ts";

/** Initial wall-clock time, in milliseconds since the epoch. */
const START_TIME_MS = 1_700_000_000_000;
/** Native function, captured before any simulated clock is installed. */
const nativeSetImmediate = setImmediate;

/**
 * Runs `program` under a clock that advances to the next timer only when all
 * other work is done.
 */
export async function withPausedClock<T>(
  program: () => Promise<T>,
  opts: { seed: number },
): Promise<T> {
  const clock = install({
    now: START_TIME_MS,
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
    let isEnded = false;
    const result = program().finally(() => isEnded = true);
    result.catch(() => {});
    await flushPromises();
    while (!isEnded) {
      clock.next();
      await flushPromises();
    }
    return await result;
  } finally {
    Math.random = nativeRandom;
    clock.uninstall();
  }
}

/** Resolves when all pending promise callbacks have run. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => nativeSetImmediate(resolve));
}
