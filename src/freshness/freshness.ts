/**
 * What a process knows about being up to date, and whether it may take work.
 *
 * `confirmedAt` states: every change that the table service accepted before
 * this time is in force here. The store states it when it names the version in
 * force as the newest; a peer passes its own statement on with an age. The time
 * counts from the question, never from the answer, so that time in transit and
 * pauses of either process only make it older.
 *
 * @module
 */

import { type DomainName, OutageRule } from "../model/mod.ts";

/** Age above which a confirmation no longer allows new work, in ms. */
export const MAX_CONFIRMED_AGE_MS = 4_000;
/** Age above which an answer of a peer is no evidence of an outage, in ms. */
export const MAX_HEARD_AGE_MS = 2_500;

/** What a process may conclude about its configuration. */
export const Standing = {
  /** Confirmed newest within the last seconds. */
  Confirmed: "confirmed",
  /** The store is out for the other failure domains too. */
  Outage: "outage",
  /** Changes may have been accepted that this process cannot learn of. */
  CutOff: "cut-off",
  /** No lists are known yet. */
  Unknown: "unknown",
} as const;
export type Standing = typeof Standing[keyof typeof Standing];

/** Last answer of a peer of one failure domain. */
export interface Heard {
  /** Time of the question. */
  readonly askedAt: number;
  readonly version: number;
}

/** Knowledge of a process; all times are monotonic, in milliseconds. */
export interface Freshness {
  readonly version: number;
  readonly confirmedAt?: number;
  /** True while the last question to the store had no answer. */
  readonly storeFailed: boolean;
  readonly heard: ReadonlyMap<DomainName, Heard>;
  /** Failure domains known to have processes. */
  readonly domains: ReadonlySet<DomainName>;
  /** True once the store has listed the processes. */
  readonly domainsRead: boolean;
}

/** Knowledge of a process that has just started. */
export const NO_FRESHNESS: Freshness = {
  version: 0,
  storeFailed: false,
  heard: new Map(),
  domains: new Set(),
  domainsRead: false,
};

/** What changes the knowledge. */
export type FreshnessEvent =
  | { readonly kind: "applied"; readonly version: number }
  | {
    readonly kind: "store-answered";
    readonly version: number;
    readonly askedAt: number;
  }
  | { readonly kind: "store-failed" }
  | {
    readonly kind: "peer-answered";
    readonly domain: DomainName;
    readonly version: number;
    readonly confirmedAgeMs: number;
    readonly askedAt: number;
    readonly domains: readonly DomainName[];
  }
  /** The settings name processes of these domains. */
  | { readonly kind: "domains-set"; readonly domains: readonly DomainName[] }
  /** The store has listed the processes; it alone can remove a domain. */
  | { readonly kind: "domains-read"; readonly domains: readonly DomainName[] };

/** Knowledge after an event. */
export function applyFreshness(
  state: Freshness,
  event: FreshnessEvent,
): Freshness {
  switch (event.kind) {
    case "applied":
      return event.version > state.version
        ? { ...state, version: event.version }
        : state;
    case "store-answered":
      return {
        ...confirm(state, event.version, event.askedAt),
        storeFailed: false,
      };
    case "store-failed":
      return { ...state, storeFailed: true };
    case "peer-answered":
      return applyPeer(state, event);
    case "domains-set":
      return { ...state, domains: new Set(event.domains) };
    case "domains-read":
      return { ...state, domains: new Set(event.domains), domainsRead: true };
  }
}

/** Age of the last confirmation in milliseconds; infinite without one. */
export function confirmedAge(state: Freshness, now: number): number {
  return state.confirmedAt === undefined ? Infinity : now - state.confirmedAt;
}

/** What the process may conclude at a time. */
export function standingOf(
  state: Freshness,
  opts: {
    now: number;
    home: DomainName;
    /** Failure domains that are out by order. */
    out: readonly DomainName[];
    rule: OutageRule;
  },
): Standing {
  if (state.version === 0) return Standing.Unknown;
  if (confirmedAge(state, opts.now) <= MAX_CONFIRMED_AGE_MS) {
    return Standing.Confirmed;
  }
  return state.storeFailed && isOutage(state, opts)
    ? Standing.Outage
    : Standing.CutOff;
}

function isOutage(
  state: Freshness,
  opts: Parameters<typeof standingOf>[1],
): boolean {
  const others = [...state.domains].filter((name) => name !== opts.home);
  const heard = others.filter((name) => agrees(state, name, opts.now));
  if (heard.length === 0) return false;
  if (opts.rule === OutageRule.Majority) {
    return (heard.length + 1) * 2 > others.length + 1;
  }
  return others.every((name) =>
    heard.includes(name) || opts.out.includes(name)
  );
}

function agrees(state: Freshness, name: DomainName, now: number): boolean {
  const heard = state.heard.get(name);
  return heard !== undefined && heard.version === state.version &&
    now - heard.askedAt <= MAX_HEARD_AGE_MS;
}

/** A statement about `version` holds for every newer version too. */
function confirm(
  state: Freshness,
  version: number,
  confirmedAt: number,
): Freshness {
  const isNews = confirmedAt > (state.confirmedAt ?? -Infinity);
  return state.version >= version && isNews ? { ...state, confirmedAt } : state;
}

function applyPeer(
  state: Freshness,
  event: Extract<FreshnessEvent, { kind: "peer-answered" }>,
): Freshness {
  const { domain, version, askedAt } = event;
  const confirmed = confirm(state, version, askedAt - event.confirmedAgeMs);
  const before = state.heard.get(domain);
  const heard = before && before.askedAt > askedAt
    ? state.heard
    : new Map(state.heard).set(domain, { askedAt, version });
  // What peers know would bring back a domain that the store has removed.
  const known = state.domainsRead ? [domain] : [domain, ...event.domains];
  const domains = known.every((name) => state.domains.has(name))
    ? state.domains
    : new Set([...state.domains, ...known]);
  return { ...confirmed, heard, domains };
}
