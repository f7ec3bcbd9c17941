/**
 * Makes a target that was taken out of service start cold when it returns.
 *
 * @module
 */

import { every } from "../kernel/mod.ts";
import type { Availability, Target } from "../model/mod.ts";

/** Time between two looks at the lists in force, in milliseconds. */
const LOOK_MS = 250;

/** True when operators have taken the target's domain or host out. */
export function isOut(target: Target, availability: Availability): boolean {
  const { domainsOut, hostsOut } = availability;
  return domainsOut.includes(target.domain) || hostsOut.includes(target.host);
}

/** What is watched. */
export interface AvailabilityWatch {
  readonly target: Target;
  availability(): Availability;
  /** Called again and again while the target is out. */
  turnCold(): void;
  readonly signal: AbortSignal;
}

/**
 * Keeps a target cold while it is out, so that it has to prove itself again.
 * Work that ends meanwhile would otherwise count as proof.
 */
export function keepColdWhileOut(watch: AvailabilityWatch): void {
  void every(LOOK_MS, () => {
    if (isOut(watch.target, watch.availability())) watch.turnCold();
    return Promise.resolve();
  }, watch.signal);
}
