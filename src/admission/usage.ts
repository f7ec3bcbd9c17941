/**
 * Requests that each organisation has in flight across the fleet, as known to
 * an entry: its own requests, and the counts that the gates report with the
 * responses to its calls.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import {
  notRun,
  type OrganisationId,
  type Refusal,
  RefusalReason,
  type TargetId,
} from "../model/mod.ts";

/** Known usage of one organisation. */
interface OrganisationUsage {
  /** Requests in flight at this entry. */
  readonly own: number;
  /** Calls in flight by target, from all entries. */
  readonly reported: ReadonlyMap<TargetId, GateReport>;
}

interface GateReport {
  readonly inHand: number;
  readonly at: number;
}

/** Usage by organisation. Organisations without usage are absent. */
export type UsageState = ReadonlyMap<OrganisationId, OrganisationUsage>;

/** Event that changes the usage. */
export type UsageEvent =
  | { readonly kind: "enter" | "leave"; readonly organisation: OrganisationId }
  | {
    readonly kind: "report";
    readonly organisation: OrganisationId;
    readonly target: TargetId;
    readonly inHand: number;
  };

/** Age at which a report of a gate expires, in milliseconds. */
const REPORT_TTL_MS = 2_000;
const RETRY_AFTER_MS = 500;

/** Initial state, without usage. */
export const EMPTY_USAGE: UsageState = new Map();

/** Applies an event at time `now`, in monotonic milliseconds. */
export function applyUsage(
  state: UsageState,
  event: UsageEvent,
  now: number,
): UsageState {
  const usage = applyToOrganisation(
    state.get(event.organisation) ?? { own: 0, reported: new Map() },
    event,
    now,
  );
  invariant(usage.own >= 0, "usage-not-negative", event.organisation);
  const next = new Map(state);
  if (usage.own === 0 && usage.reported.size === 0) {
    next.delete(event.organisation);
  } else next.set(event.organisation, usage);
  return next;
}

/**
 * Returns the requests that an organisation is known to have in flight across
 * the fleet.
 */
export function fleetUsage(
  state: UsageState,
  organisation: OrganisationId,
  now: number,
): number {
  const usage = state.get(organisation);
  if (!usage) return 0;
  const reported = [...usage.reported.values()]
    .filter(({ at }) => now - at < REPORT_TTL_MS)
    .reduce((sum, { inHand }) => sum + inHand, 0);
  return Math.max(usage.own, reported);
}

/** Refuses a request above the plan's limit, else returns undefined. */
export function decideShare(
  state: UsageState,
  req: { organisation: OrganisationId; maxConcurrent: number },
  now: number,
): Refusal | undefined {
  return fleetUsage(state, req.organisation, now) < req.maxConcurrent
    ? undefined
    : notRun(
      RefusalReason.OverShare,
      `The plan allows ${req.maxConcurrent} requests at a time`,
      RETRY_AFTER_MS,
    );
}

function applyToOrganisation(
  usage: OrganisationUsage,
  event: UsageEvent,
  now: number,
): OrganisationUsage {
  switch (event.kind) {
    case "enter":
      return { ...usage, own: usage.own + 1 };
    case "leave":
      return { own: usage.own - 1, reported: unexpired(usage.reported, now) };
    case "report": {
      const reported = new Map(usage.reported);
      if (event.inHand === 0) reported.delete(event.target);
      else reported.set(event.target, { inHand: event.inHand, at: now });
      return { ...usage, reported };
    }
  }
}

function unexpired(
  reported: ReadonlyMap<TargetId, GateReport>,
  now: number,
): ReadonlyMap<TargetId, GateReport> {
  return new Map(
    [...reported].filter(([, { at }]) => now - at < REPORT_TTL_MS),
  );
}
