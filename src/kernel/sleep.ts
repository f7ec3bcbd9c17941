/**
 * Delays, periodic tasks and timeouts.
 *
 * @module
 */

/** Resolves after `ms` milliseconds, or earlier when `signal` aborts. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) return resolve();
    const settle = () => {
      clearTimeout(timer);
      signal?.removeEventListener("abort", settle);
      resolve();
    };
    const timer = setTimeout(settle, ms);
    signal?.addEventListener("abort", settle);
  });
}

/** Returns the time of the monotonic clock in milliseconds. */
export function monotonicMs(): number {
  return performance.now();
}

/**
 * Runs `task` until `signal` aborts, with a pause of `ms` milliseconds after
 * each run. If `ms` is a function, it is called for each pause.
 */
export async function every(
  ms: number | (() => number),
  task: () => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    await task();
    await sleep(typeof ms === "number" ? ms : ms(), signal);
  }
}

/**
 * Returns a signal that aborts after `ms` milliseconds, or when one of `others`
 * aborts. What has arrived by then is read first: after a stall of this process
 * its timers run before its sockets.
 */
export function timeoutSignal(
  ms: number,
  ...others: readonly AbortSignal[]
): AbortSignal {
  const controller = new AbortController();
  const delay = Math.max(0, Math.ceil(ms));
  const abort = () => controller.abort(new TimeoutError(delay));
  setTimeout(() => setImmediate(abort).unref(), delay).unref();
  return others.length === 0
    ? controller.signal
    : AbortSignal.any([controller.signal, ...others]);
}

/** Abort reason of a signal that timed out. */
export class TimeoutError extends Error {
  override readonly name = "TimeoutError";

  constructor(ms: number) {
    super(`No answer within ${ms} ms`);
  }
}
