/**
 * Runs a task under a simulated clock, as fast as the machine can.
 *
 * @module
 */

import { install } from "@sinonjs/fake-timers";

const FAKED = [
  "setTimeout",
  "clearTimeout",
  "setInterval",
  "clearInterval",
  "Date",
  "performance",
] as const;

/** Advances the clock from timer to timer until the task has ended. */
export async function underPausedClock<T>(
  task: () => Promise<T>,
): Promise<T> {
  const clock = install({ now: 1_700_000_000_000, toFake: [...FAKED] });
  let ended = false;
  const work = task().finally(() => {
    ended = true;
  });
  work.catch(() => {});
  try {
    while (!ended) await clock.nextAsync();
    return await work;
  } finally {
    clock.uninstall();
  }
}
