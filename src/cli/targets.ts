/**
 * What is known of each target, and why one gets no new work.
 *
 * @module
 */

import type { Availability, TargetLoad } from "../model/mod.ts";
import type { TargetRow } from "../process/mod.ts";

/** Whether a target gets new work, and why not. */
export const TargetStatus = {
  Serving: "serving",
  /** Serving, and not proven to bear normal load yet. */
  Cold: "cold",
  DomainOut: "domain-out",
  HostOut: "host-out",
  HostLeaving: "host-leaving",
  Leaving: "leaving",
  Unreachable: "unreachable",
} as const;
export type TargetStatus = typeof TargetStatus[keyof typeof TargetStatus];

/** What a status follows from. */
export interface TargetEvidence {
  readonly availability: Availability;
  /** Hosts that the host list marks as leaving. */
  readonly leavingHosts: ReadonlySet<string>;
  /** Load that the agent told; absent when it did not answer. */
  readonly load?: TargetLoad;
}

/** Status of a target; operators' orders come before all other reasons. */
export function statusOf(
  target: TargetRow,
  evidence: TargetEvidence,
): TargetStatus {
  const { availability, leavingHosts, load } = evidence;
  if (availability.domainsOut.includes(target.domain)) {
    return TargetStatus.DomainOut;
  }
  if (availability.hostsOut.includes(target.host)) return TargetStatus.HostOut;
  if (leavingHosts.has(target.host)) return TargetStatus.HostLeaving;
  if (target.stamp?.leaving || load?.leaving) return TargetStatus.Leaving;
  if (!load) return TargetStatus.Unreachable;
  return load.cold ? TargetStatus.Cold : TargetStatus.Serving;
}
