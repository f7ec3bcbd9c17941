/**
 * What an entry knows of one target, and how it follows from the changes of the
 * target's row.
 *
 * @module
 */

import {
  type ListedTarget,
  type StateChange,
  TargetState,
} from "./state_change.ts";
import { eraOf } from "./store_version.ts";

type TargetChange = Extract<StateChange, { kind: "target" }>;

/** Known state of one target. */
export interface TargetRecord {
  readonly version: number;
  readonly target?: ListedTarget;
  /** Monotonic time at which the newest change was received. */
  readonly receivedAt: number;
  /** Monotonic time until which the target is cold. */
  readonly coldUntil: number;
  /** Monotonic time until which a lapsed target stays in use. */
  readonly lapsesAt?: number;
  /** Newest report of its latest start, also once it is removed. */
  readonly lastReport?: LastReport;
}

interface LastReport {
  readonly bornMs: number;
  readonly report: number;
  /** Era of the store from which it was read. */
  readonly era: number;
}

/** Time in ms for which a lapsed target stays in use once the store is back. */
export const LAPSE_GRACE_MS = 2_000;

/** Why a listed target gets no new work. */
export const TargetObstacle = {
  /** It reports that it is draining. */
  Draining: "draining",
  /** Its row was not renewed in time. */
  Lapsed: "lapsed",
  /** Operators keep its failure domain out of service. */
  DomainOut: "domain-out",
  /** It has said that it leaves. */
  Leaving: "leaving",
} as const;
export type TargetObstacle = typeof TargetObstacle[keyof typeof TargetObstacle];

/** Why a target gets no new work at time `now`, by its own row. */
export function obstacleOf(
  { target, lapsesAt }: TargetRecord,
  now: number,
): TargetObstacle | undefined {
  if (target?.state !== TargetState.Ready) return TargetObstacle.Draining;
  const hasLapsed = lapsesAt !== undefined && now >= lapsesAt;
  return hasLapsed ? TargetObstacle.Lapsed : undefined;
}

/**
 * True when a restored store lists a target as ready that is known to take no
 * more work, and the report may come from the copy: reports may have been
 * written before the target left and never read here. The target takes work
 * again once it has reported to the restored store.
 */
export function isOldReport(
  before: TargetRecord,
  { version, target }: TargetChange,
): boolean {
  const era = eraOf(version);
  if (era <= eraOf(before.version)) return false;
  if (target?.state !== TargetState.Ready || isTakingWork(before)) return false;
  const { lastReport } = before;
  const isSameStart = target.bornMs !== undefined &&
    target.bornMs === lastReport?.bornMs;
  if (!isSameStart || target.report === undefined) return false;
  return lastReport.era < era || target.report <= lastReport.report;
}

/** Returns the record with the first report of an era, which is not applied. */
export function withReport(
  before: TargetRecord,
  { version, target }: TargetChange,
): TargetRecord {
  const read = target && lastReportOf(target, eraOf(version));
  const known = before.lastReport;
  if (!read || !known || read.era === known.era) return before;
  const report = Math.max(read.report, known.report);
  return { ...before, lastReport: { ...read, report } };
}

function isTakingWork({ target, lapsesAt }: TargetRecord): boolean {
  return target?.state === TargetState.Ready && lapsesAt === undefined;
}

/** Returns the record after a change. */
export function nextRecord(
  before: TargetRecord | undefined,
  change: TargetChange,
  now: number,
): TargetRecord {
  const { version, target } = change;
  if (target) {
    const isSameStart = before?.target?.bornMs === target.bornMs;
    const coldUntil = now + target.coldMs;
    return {
      version,
      target,
      receivedAt: now,
      coldUntil: isSameStart
        ? Math.max(before?.coldUntil ?? 0, coldUntil)
        : coldUntil,
      lastReport: lastReportOf(target, eraOf(version)),
    };
  }
  const wasReady = before?.target?.state === TargetState.Ready;
  const lapseMs = Math.min(LAPSE_GRACE_MS, change.lapseMs ?? LAPSE_GRACE_MS);
  return {
    version,
    target: change.hasLapsed && wasReady ? before?.target : undefined,
    receivedAt: now,
    coldUntil: 0,
    lapsesAt: change.hasLapsed && wasReady ? now + lapseMs : undefined,
    lastReport: before?.lastReport,
  };
}

function lastReportOf(
  { bornMs, report }: ListedTarget,
  era: number,
): LastReport | undefined {
  return bornMs === undefined || report === undefined
    ? undefined
    : { bornMs, report, era };
}
