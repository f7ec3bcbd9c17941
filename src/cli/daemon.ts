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

/** Runs until SIGTERM or SIGINT, then drains and ends the process. */
export function runDaemon(kernel: Kernel, opts: { drainMs: number }): void {
  let isStopping = false;
  const stop = () => {
    if (isStopping) return;
    isStopping = true;
    setTimeout(() => {
      console.error(`event=stop_timed_out service=${kernel.draining}`);
      process.exit(1);
    }, opts.drainMs + GRACE_MS).unref();
    kernel.stop().then(
      () => process.exit(0),
      (err: unknown) => {
        console.error(String(err));
        process.exit(1);
      },
    );
  };
  // The handlers stay installed: without them a second signal would end the
  // process at once.
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}
