/**
 * Waiting on the runtime's clock.
 *
 * @module
 */

/** Resolves after `ms` milliseconds or when `signal` aborts, whichever is first. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const finish = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal?.addEventListener("abort", finish);
  });
}

/** Milliseconds on the monotonic clock. */
export function monotonicMs(): number {
  return performance.now();
}

/** Runs `task` every `ms` milliseconds, one at a time, until `signal` aborts. */
export async function every(
  ms: number,
  task: () => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await task();
    await sleep(ms, signal);
  }
}
