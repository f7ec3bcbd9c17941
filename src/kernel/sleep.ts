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

/**
 * Runs `task` every `ms` milliseconds, one at a time, until `signal` aborts.
 * A function in place of `ms` gives each pause.
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

/** Signal that aborts after `ms` milliseconds, or with one of `others`. */
export function timeoutSignal(
  ms: number,
  ...others: readonly AbortSignal[]
): AbortSignal {
  const abort = new AbortController();
  const delay = Math.max(0, Math.ceil(ms));
  setTimeout(() => abort.abort(new TimeoutError(delay)), delay).unref();
  return others.length === 0
    ? abort.signal
    : AbortSignal.any([abort.signal, ...others]);
}

/** Reason of a signal that aborted by time. */
export class TimeoutError extends Error {
  override readonly name = "TimeoutError";

  constructor(ms: number) {
    super(`No answer within ${ms} ms`);
  }
}
