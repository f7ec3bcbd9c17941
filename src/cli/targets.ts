/**
 * Status of a target: whether it gets new work, and why not.
 *
 * @module
 */

import type { Availability, TargetLoad } from "../model/mod.ts";
import type { TargetRow } from "../process/mod.ts";

/** Whether a target gets new work, and why not. */
export const TargetStatus = {
  Serving: "serving",
  /** Serving, but not yet proven to sustain normal load. */
  Cold: "cold",
  DomainOut: "domain-out",
  HostOut: "host-out",
  HostLeaving: "host-leaving",
  Leaving: "leaving",
  Unreachable: "unreachable",
} as const;
export type TargetStatus = typeof TargetStatus[keyof typeof TargetStatus];

/** Observations from which the status of a target is derived. */
export interface TargetObservations {
  readonly availability: Availability;
  /** Hosts that the host list marks as leaving. */
  readonly leavingHosts: ReadonlySet<string>;
  /** Load that the agent reported; absent when it did not respond. */
  readonly load?: TargetLoad;
}

/**
 * Returns the status of a target. Operators' orders take precedence over all
 * other reasons.
 */
export function statusOf(
  target: TargetRow,
  observed: TargetObservations,
): TargetStatus {
  const { availability, leavingHosts, load } = observed;
  if (availability.domainsOut.includes(target.domain)) {
    return TargetStatus.DomainOut;
  }
  if (availability.hostsOut.includes(target.host)) return TargetStatus.HostOut;
  if (leavingHosts.has(target.host)) return TargetStatus.HostLeaving;
  if (target.stamp?.leaving || load?.leaving) return TargetStatus.Leaving;
  if (!load) return TargetStatus.Unreachable;
  return load.cold ? TargetStatus.Cold : TargetStatus.Serving;
}
