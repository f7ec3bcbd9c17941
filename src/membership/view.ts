/**
 * Which targets may get new work.
 *
 * Several sources say whether a target is there. The most cautious one wins
 * for new work.
 *
 * @module
 */

import type { Availability, HostId, Target, TargetId } from "../model/mod.ts";

/** What is known about the targets. */
export interface MembershipView {
  /** Targets that their agents have registered. */
  readonly registered: readonly Target[];
  readonly availability: Availability;
  /** Hosts that the host list reports as leaving. */
  readonly leavingHosts: ReadonlySet<HostId>;
  /** Targets that this process found unreachable. */
  readonly suspected: ReadonlySet<TargetId>;
}

/** Targets that may get new work. */
export function serviceable(view: MembershipView): readonly Target[] {
  const { domainsOut, hostsOut } = view.availability;
  return view.registered.filter((target) =>
    !domainsOut.includes(target.domain) &&
    !hostsOut.includes(target.host) &&
    !view.leavingHosts.has(target.host) &&
    !view.suspected.has(target.id)
  );
}
