/**
 * Availability of hosts according to the platform's host list.
 *
 * The list lags and may be wrong. A host that it marks as leaving gets no new
 * work immediately, and is readmitted only after it has been listed as live for
 * `READMIT_AFTER_MS`. A host that is missing from it for
 * `MISSING_TIMEOUT_MS` gets no new work either, unless so many are missing that
 * a fault of the list is more likely.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import type { HostId } from "../model/mod.ts";

/**
 * Time for which a host must be listed as live before it gets new work again,
 * in milliseconds.
 */
const READMIT_AFTER_MS = 5_000;
/** Time after which a missing host gets no new work, in milliseconds. */
const MISSING_TIMEOUT_MS = 10_000;
/** Largest share of hosts in use that a trusted list may miss. */
const MAX_MISSING_SHARE = 0.5;

/** A host as listed. */
export interface ListedHost {
  readonly host: HostId;
  readonly isLeaving: boolean;
}

/** Record of one host. Times are monotonic, in milliseconds. */
export interface HostRecord {
  readonly isLeaving: boolean;
  /** Time of the last change of `isLeaving` or `isMissing`. */
  readonly since: number;
  readonly isMissing: boolean;
  /** True from the time the host is leaving until it is readmitted. */
  readonly wasLeaving: boolean;
}

/** Records of all hosts that have ever been listed. */
export type HostsState = ReadonlyMap<HostId, HostRecord>;

/** Availability of the hosts in use. */
export interface HostAssessment {
  /** Hosts that get no new work. */
  readonly avoided: ReadonlySet<HostId>;
  /** Hosts missing for `MISSING_TIMEOUT_MS` or longer, avoided or not. */
  readonly missing: ReadonlySet<HostId>;
  /** False when too many hosts are missing for the list to be trusted. */
  readonly isTrusted: boolean;
}

/** Returns the records updated by a list; ignores an empty list. */
export function applyHostList(
  state: HostsState,
  listed: readonly ListedHost[],
  now: number,
): HostsState {
  if (listed.length === 0) return state;
  const listedByHost = new Map(listed.map((entry) => [entry.host, entry]));
  const hosts = new Set([...state.keys(), ...listedByHost.keys()]);
  return new Map(
    [...hosts].map((host) => [
      host,
      updateRecord(state.get(host), { listed: listedByHost.get(host), now }),
    ]),
  );
}

/** Returns the availability of the hosts in use at time `now`. */
export function assessHosts(
  state: HostsState,
  inUse: ReadonlySet<HostId>,
  now: number,
): HostAssessment {
  const used = [...state].filter(([host]) => inUse.has(host));
  const leaving = used.filter(([, record]) => isAvoidedAsLeaving(record, now));
  const missing = used.filter(([, record]) =>
    record.isMissing && now - record.since >= MISSING_TIMEOUT_MS
  );
  const isTrusted = missing.length <= inUse.size * MAX_MISSING_SHARE;
  const avoided = new Set(
    [...leaving, ...(isTrusted ? missing : [])].map(([host]) => host),
  );
  invariant(
    used.every(([host, record]) => !record.isLeaving || avoided.has(host)),
    "leaving-host-gets-no-work",
  );
  invariant(
    avoided.size <= leaving.length + inUse.size * MAX_MISSING_SHARE,
    "host-list-cannot-empty-fleet",
    () => `avoided=${avoided.size} in_use=${inUse.size}`,
  );
  return {
    avoided,
    missing: new Set(missing.map(([host]) => host)),
    isTrusted,
  };
}

/** Returns since when a host is missing, or undefined when it is not. */
export function missingSince(
  state: HostsState,
  host: HostId,
): number | undefined {
  const record = state.get(host);
  return record?.isMissing ? record.since : undefined;
}

function isAvoidedAsLeaving(record: HostRecord, now: number): boolean {
  if (record.isLeaving) return true;
  // A host that goes missing was not listed as live for long enough.
  return record.wasLeaving &&
    (record.isMissing || now - record.since < READMIT_AFTER_MS);
}

function updateRecord(
  before: HostRecord | undefined,
  { listed, now }: { listed: ListedHost | undefined; now: number },
): HostRecord {
  const isMissing = listed === undefined;
  const isLeaving = listed?.isLeaving ?? before?.isLeaving ?? false;
  const isUnchanged = before?.isMissing === isMissing &&
    before.isLeaving === isLeaving;
  const since = isUnchanged ? before.since : now;
  const isReadmitted = !isLeaving && !isMissing &&
    now - since >= READMIT_AFTER_MS;
  const wasLeaving = isLeaving ||
    (before?.wasLeaving === true && !isReadmitted);
  return { isLeaving, isMissing, since, wasLeaving };
}
