/**
 * What the platform's host list says about hosts, taken with caution.
 *
 * The list lags, and it may be wrong. A host that it marks as leaving gets no
 * new work at once and returns only after it was listed as live for a while. A
 * host that disappears from it counts as gone, unless so many disappear that
 * the list itself is the likelier fault.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { HostId } from "../model/mod.ts";

/** Time for which a host must be live before it gets work again, in ms. */
const SETTLE_MS = 5_000;
/** Time for which a host must be missing before it counts as gone, in ms. */
const GONE_MS = 10_000;
/** Largest share of the hosts in use that may count as gone. */
const MAX_GONE_SHARE = 0.5;

/** A host as the list shows it. */
export interface ListedHost {
  readonly host: HostId;
  readonly isLeaving: boolean;
}

/** Evidence about one host. Times are monotonic, in milliseconds. */
export interface HostEvidence {
  readonly isLeaving: boolean;
  /** Time since which the list shows the host as it does now. */
  readonly since: number;
  readonly isMissing: boolean;
  /** True once the host was leaving and has not settled since. */
  readonly wasLeaving: boolean;
}

/** Evidence about all hosts that were ever listed. */
export type HostsState = ReadonlyMap<HostId, HostEvidence>;

/** What follows from the evidence. */
export interface HostVerdict {
  /** Hosts that get no new work. */
  readonly avoided: ReadonlySet<HostId>;
  /** Hosts that are missing for long enough, whether avoided or not. */
  readonly missing: ReadonlySet<HostId>;
  /** False when too many hosts are missing for the list to be believed. */
  readonly isTrusted: boolean;
}

/** Evidence after a list was read. An empty list says nothing. */
export function applyHostList(
  state: HostsState,
  listed: readonly ListedHost[],
  now: number,
): HostsState {
  if (listed.length === 0) return state;
  const present = new Map(listed.map((one) => [one.host, one]));
  const hosts = new Set([...state.keys(), ...present.keys()]);
  return new Map(
    [...hosts].map((host) => [
      host,
      evidenceOf(state.get(host), { listed: present.get(host), now }),
    ]),
  );
}

/** Judges the hosts in use at time `now`. */
export function judgeHosts(
  state: HostsState,
  inUse: ReadonlySet<HostId>,
  now: number,
): HostVerdict {
  const used = [...state].filter(([host]) => inUse.has(host));
  const leaving = used.filter(([, one]) => isAvoidedAsLeaving(one, now));
  const missing = used.filter(([, one]) =>
    one.isMissing && now - one.since >= GONE_MS
  );
  const isTrusted = missing.length <= inUse.size * MAX_GONE_SHARE;
  const avoided = new Set(
    [...leaving, ...(isTrusted ? missing : [])].map(([host]) => host),
  );
  invariant(
    used.every(([host, one]) => !one.isLeaving || avoided.has(host)),
    "leaving-host-gets-no-work",
  );
  invariant(
    avoided.size <= leaving.length + inUse.size * MAX_GONE_SHARE,
    "host-list-cannot-empty-fleet",
    () => `avoided=${avoided.size} in_use=${inUse.size}`,
  );
  return {
    avoided,
    missing: new Set(missing.map(([host]) => host)),
    isTrusted,
  };
}

/** Time since which a host is missing from the list; undefined when listed. */
export function missingSince(
  state: HostsState,
  host: HostId,
): number | undefined {
  const found = state.get(host);
  return found?.isMissing ? found.since : undefined;
}

function isAvoidedAsLeaving(one: HostEvidence, now: number): boolean {
  if (one.isLeaving) return true;
  return one.wasLeaving && !one.isMissing && now - one.since < SETTLE_MS;
}

function evidenceOf(
  before: HostEvidence | undefined,
  { listed, now }: { listed: ListedHost | undefined; now: number },
): HostEvidence {
  const isMissing = listed === undefined;
  const isLeaving = listed?.isLeaving ?? before?.isLeaving ?? false;
  const isSame = before?.isMissing === isMissing &&
    before.isLeaving === isLeaving;
  const since = isSame ? before.since : now;
  const hasSettled = !isLeaving && now - since >= SETTLE_MS;
  const wasLeaving = isLeaving || (before?.wasLeaving === true && !hasSettled);
  return { isLeaving, isMissing, since, wasLeaving };
}
