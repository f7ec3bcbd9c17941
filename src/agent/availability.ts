/**
 * Makes a target that was taken out of service cold when it returns.
 *
 * @module
 */

import { every } from "../kernel/mod.ts";
import type { Availability, Target } from "../model/mod.ts";

/** Pause between two checks of the lists in force, in milliseconds. */
const POLL_MS = 250;

/** True when the lists take the target's domain or host out of service. */
export function isOut(target: Target, availability: Availability): boolean {
  const { domainsOut, hostsOut } = availability;
  return domainsOut.includes(target.domain) || hostsOut.includes(target.host);
}

/** Options of {@linkcode keepColdWhileOut}. */
export interface KeepColdOptions {
  readonly target: Target;
  availability(): Availability;
  /** Called on every check while the target is out of service. */
  markCold(): void;
  readonly signal: AbortSignal;
}

/**
 * Keeps a target cold while it is out of service, so that it has to prove
 * itself warm again on its return. Otherwise calls that end meanwhile would
 * count as proof.
 */
export function keepColdWhileOut(opts: KeepColdOptions): void {
  void every(POLL_MS, () => {
    if (isOut(opts.target, opts.availability())) opts.markCold();
    return Promise.resolve();
  }, opts.signal);
}
