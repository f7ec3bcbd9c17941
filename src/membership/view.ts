/**
 * Eligibility of targets for new work.
 *
 * Several sources report the availability of targets. A target gets new work
 * only if none of them rules it out.
 *
 * @module
 */

import type { Availability, HostId, Target, TargetId } from "../model/mod.ts";

/** Registered targets and the sources that may rule them out. */
export interface MembershipView {
  /** Targets registered by their agents. */
  readonly registered: readonly Target[];
  readonly availability: Availability;
  /** Hosts that get no new work according to the host list. */
  readonly avoidedHosts: ReadonlySet<HostId>;
  /** Targets that this process could not reach. */
  readonly suspected: ReadonlySet<TargetId>;
}

/** Returns the targets that may get new work. */
export function eligibleTargets(view: MembershipView): readonly Target[] {
  const { domainsOut, hostsOut } = view.availability;
  return view.registered.filter((target) =>
    !domainsOut.includes(target.domain) &&
    !hostsOut.includes(target.host) &&
    !view.avoidedHosts.has(target.host) &&
    !view.suspected.has(target.id)
  );
}
