/**
 * Runs a daemon until a signal stops it.
 *
 * @module
 */

import { type Checked, formatFindings } from "../config/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";

/**
 * Time beyond the drain after which a stopping process ends even with work in
 * flight, in milliseconds.
 */
const GRACE_MS = 5_000;

/** Returns the checked value; throws a usage error that lists every finding. */
export function unwrapChecked<T>(what: string, checked: Checked<T>): T {
  if (checked.isOk()) return checked.value;
  throw new CommandError(
    ExitCode.Usage,
    `${what} is invalid:\n${formatFindings(checked.error)}`,
  );
}

/**
 * Starts a daemon and runs it until SIGTERM or SIGINT, then drains and ends the
 * process. A signal during the start stops it once it has started.
 */
export async function runDaemon(
  start: () => Promise<Kernel>,
  opts: { drainMs: number },
): Promise<void> {
  const stopping = new AbortController();
  // The handlers stay installed: without them a further signal would end the
  // process at once.
  process.on("SIGTERM", () => stopping.abort());
  process.on("SIGINT", () => stopping.abort());
  // Settings are read at the start only.
  process.on("SIGHUP", () => {});
  const kernel = await start();
  const stop = () => stopKernel(kernel, opts.drainMs + GRACE_MS);
  if (stopping.signal.aborted) stop();
  else stopping.signal.addEventListener("abort", stop);
}

/** Stops gracefully, within `timeoutMs`, and ends the process. */
function stopKernel(kernel: Kernel, timeoutMs: number): void {
  setTimeout(() => {
    console.error(`event=stop_timed_out service=${kernel.draining}`);
    process.exit(1);
  }, timeoutMs).unref();
  kernel.stop().then(
    () => process.exit(0),
    (err: unknown) => {
      console.error(String(err));
      process.exit(1);
    },
  );
}
