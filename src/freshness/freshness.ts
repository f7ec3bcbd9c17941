/**
 * Freshness of a process's configuration, which decides whether the process may
 * accept work.
 *
 * All changes that the table service accepted before `confirmedAt` are in force
 * in this process. The store confirms this by reporting the version in force as
 * the newest; a peer forwards its own confirmation with its age. The time is
 * that of the request, never of the response, so that transit times and pauses
 * of either process can only make the confirmation older.
 *
 * @module
 */

import { type DomainName, OutageRule } from "../model/mod.ts";

/** Age above which a confirmation no longer allows new work, in ms. */
export const MAX_CONFIRMED_AGE_MS = 4_000;
/**
 * Age above which a peer's report no longer counts as evidence of an outage, in
 * milliseconds.
 */
export const MAX_PEER_REPORT_AGE_MS = 2_500;

/** Status of a process's configuration. */
export const FreshnessStatus = {
  /** Confirmed as the newest within `MAX_CONFIRMED_AGE_MS`. */
  Confirmed: "confirmed",
  /**
   * The store does not respond, and recent reports from enough other failure
   * domains have the same version: the store is out for them too.
   */
  Outage: "outage",
  /** The store may have accepted changes that this process cannot receive. */
  CutOff: "cut-off",
  /** No lists have been received yet. */
  Unknown: "unknown",
} as const;
export type FreshnessStatus =
  typeof FreshnessStatus[keyof typeof FreshnessStatus];

/** Newest response of a peer in one failure domain. */
export interface PeerReport {
  /** Time of the request. */
  readonly requestedAt: number;
  readonly version: number;
}

/** State of a process; all times are monotonic, in milliseconds. */
export interface Freshness {
  readonly version: number;
  readonly confirmedAt?: number;
  /** True if the last request to the store failed. */
  readonly storeFailed: boolean;
  readonly peerReports: ReadonlyMap<DomainName, PeerReport>;
  /** Failure domains known to have processes. */
  readonly domains: ReadonlySet<DomainName>;
  /** True once the store has listed the processes. */
  readonly domainsListed: boolean;
}

/** State of a process that has just started. */
export const INITIAL_FRESHNESS: Freshness = {
  version: 0,
  storeFailed: false,
  peerReports: new Map(),
  domains: new Set(),
  domainsListed: false,
};

/** An event that changes the state. */
export type FreshnessEvent =
  | { readonly kind: "applied"; readonly version: number }
  | {
    readonly kind: "store-responded";
    readonly version: number;
    readonly requestedAt: number;
  }
  | { readonly kind: "store-failed" }
  | {
    readonly kind: "peer-responded";
    readonly domain: DomainName;
    readonly version: number;
    readonly confirmedAgeMs: number;
    readonly requestedAt: number;
    readonly domains: readonly DomainName[];
  }
  /** The settings list processes in these domains; sent once, at the start. */
  | { readonly kind: "domains-set"; readonly domains: readonly DomainName[] }
  /** The store listed the processes; only this event can remove a domain. */
  | {
    readonly kind: "domains-listed";
    readonly domains: readonly DomainName[];
  };

/** Returns the state after an event. */
export function applyFreshness(
  state: Freshness,
  event: FreshnessEvent,
): Freshness {
  switch (event.kind) {
    case "applied":
      return event.version > state.version
        ? { ...state, version: event.version }
        : state;
    case "store-responded":
      return {
        ...confirm(state, event.version, event.requestedAt),
        storeFailed: false,
      };
    case "store-failed":
      return { ...state, storeFailed: true };
    case "peer-responded":
      return applyPeer(state, event);
    case "domains-set":
      return { ...state, domains: new Set(event.domains) };
    case "domains-listed":
      return { ...state, domains: new Set(event.domains), domainsListed: true };
  }
}

/** Returns the confirmation's age in milliseconds; infinite without one. */
export function confirmedAge(state: Freshness, now: number): number {
  return state.confirmedAt === undefined ? Infinity : now - state.confirmedAt;
}

/** Returns the status of the configuration at time `now`. */
export function freshnessStatusOf(
  state: Freshness,
  opts: {
    now: number;
    localDomain: DomainName;
    /** Failure domains that operators have taken out of service. */
    out: readonly DomainName[];
    rule: OutageRule;
  },
): FreshnessStatus {
  if (state.version === 0) return FreshnessStatus.Unknown;
  if (confirmedAge(state, opts.now) <= MAX_CONFIRMED_AGE_MS) {
    return FreshnessStatus.Confirmed;
  }
  return state.storeFailed && isOutage(state, opts)
    ? FreshnessStatus.Outage
    : FreshnessStatus.CutOff;
}

function isOutage(
  state: Freshness,
  opts: Parameters<typeof freshnessStatusOf>[1],
): boolean {
  const others = [...state.domains].filter((name) => name !== opts.localDomain);
  const agreeing = others.filter((name) => peerAgrees(state, name, opts.now));
  if (agreeing.length === 0) return false;
  if (opts.rule === OutageRule.Majority) {
    return (agreeing.length + 1) * 2 > others.length + 1;
  }
  return others.every((name) =>
    agreeing.includes(name) || opts.out.includes(name)
  );
}

function peerAgrees(state: Freshness, name: DomainName, now: number): boolean {
  const report = state.peerReports.get(name);
  return report !== undefined && report.version === state.version &&
    now - report.requestedAt <= MAX_PEER_REPORT_AGE_MS;
}

/** Applies a confirmation of `version`, which covers newer versions too. */
function confirm(
  state: Freshness,
  version: number,
  confirmedAt: number,
): Freshness {
  const isNewer = confirmedAt > (state.confirmedAt ?? -Infinity);
  return state.version >= version && isNewer
    ? { ...state, confirmedAt }
    : state;
}

function applyPeer(
  state: Freshness,
  event: Extract<FreshnessEvent, { kind: "peer-responded" }>,
): Freshness {
  const { domain, version, requestedAt } = event;
  const confirmed = confirm(state, version, requestedAt - event.confirmedAgeMs);
  const before = state.peerReports.get(domain);
  const peerReports = before && before.requestedAt > requestedAt
    ? state.peerReports
    : new Map(state.peerReports).set(domain, { requestedAt, version });
  // Once the store has listed the processes, the domains that peers report are
  // ignored, since they could add a removed domain again.
  const known = state.domainsListed ? [domain] : [domain, ...event.domains];
  const domains = known.every((name) => state.domains.has(name))
    ? state.domains
    : new Set([...state.domains, ...known]);
  return { ...confirmed, peerReports, domains };
}
