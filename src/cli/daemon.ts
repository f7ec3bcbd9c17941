/**
 * Running a daemon until it is told to stop.
 *
 * @module
 */

import { type Checked, formatFindings } from "../config/mod.ts";
import type { Kernel } from "../kernel/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** Time after which a stopping process ends with work in hand, in ms. */
const GRACE_MS = 5_000;

/** Value of a check, or a command error that lists every finding. */
export function checkedOrFail<T>(what: string, checked: Checked<T>): T {
  if (checked.isOk()) return checked.value;
  throw new CommandError(
    ExitCode.Usage,
    `${what} has faults:\n${formatFindings(checked.error)}`,
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
  // The handlers stay: without them a second signal would end the process.
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
}
