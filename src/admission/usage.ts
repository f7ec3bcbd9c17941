/**
 * Requests that each organisation has in hand across the fleet, as far as an entry
 * can tell: its own, and what the gates report on answers to its calls.
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

/** What is known of one organisation. */
interface OrganisationUsage {
  /** Requests in hand at this entry. */
  readonly own: number;
  /** Calls in hand by target, from all entries. */
  readonly reported: ReadonlyMap<TargetId, Reported>;
}

interface Reported {
  readonly inHand: number;
  readonly at: number;
}

/** Usage by organisation. Organisations without any are absent. */
export type UsageState = ReadonlyMap<OrganisationId, OrganisationUsage>;

/** Something that changes the usage. */
export type UsageEvent =
  | { readonly kind: "enter" | "leave"; readonly organisation: OrganisationId }
  | {
    readonly kind: "report";
    readonly organisation: OrganisationId;
    readonly target: TargetId;
    readonly inHand: number;
  };

/** Age at which a report of a gate no longer counts, in milliseconds. */
const REPORT_AGE_MS = 2_000;
const RETRY_MS = 500;

/** Usage of nobody. */
export const NO_USAGE: UsageState = new Map();

/** Applies an event at time `now`, in monotonic milliseconds. */
export function applyUsage(
  state: UsageState,
  event: UsageEvent,
  now: number,
): UsageState {
  const usage = changed(
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

/** Requests of an organisation in hand across the fleet, as far as known. */
export function fleetUsage(
  state: UsageState,
  organisation: OrganisationId,
  now: number,
): number {
  const usage = state.get(organisation);
  if (!usage) return 0;
  const reported = [...usage.reported.values()]
    .filter(({ at }) => now - at < REPORT_AGE_MS)
    .reduce((sum, { inHand }) => sum + inHand, 0);
  return Math.max(usage.own, reported);
}

/** Refusal of a further request beyond the plan, or undefined. */
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
      RETRY_MS,
    );
}

function changed(
  usage: OrganisationUsage,
  event: UsageEvent,
  now: number,
): OrganisationUsage {
  switch (event.kind) {
    case "enter":
      return { ...usage, own: usage.own + 1 };
    case "leave":
      return { own: usage.own - 1, reported: freshOnly(usage.reported, now) };
    case "report": {
      const reported = new Map(usage.reported);
      if (event.inHand === 0) reported.delete(event.target);
      else reported.set(event.target, { inHand: event.inHand, at: now });
      return { ...usage, reported };
    }
  }
}

function freshOnly(
  reported: ReadonlyMap<TargetId, Reported>,
  now: number,
): ReadonlyMap<TargetId, Reported> {
  return new Map(
    [...reported].filter(([, { at }]) => now - at < REPORT_AGE_MS),
  );
}
