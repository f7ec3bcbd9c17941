/**
 * Collects the counts of all processes and decides which phase of an order comes
 * next.
 *
 * @module
 */

import { type FleetState, RolloutPhase } from "../serving/mod.ts";
import {
  MAX_ROLLOUT_COUNTS,
  type RolloutReport,
  type SentCounts,
} from "../wire/mod.ts";
import {
  keyOf,
  Measure,
  type RouteCounts,
  sumOfCounts,
  totalFrom,
  totalOf,
} from "./evidence.ts";
import { judge, type Judgement } from "./judgement.ts";
import { nextPhase, timesOf } from "./phases.ts";
import type { PoolRollout } from "./pool_rollout.ts";

/** Time after which a process that reports no more is ignored, in ms. */
const REPORT_TTL_MS = 5_000;
/** Pause between looks at the evidence, in milliseconds. */
export const LOOK_MS = 200;
/** Share of the requests whose time counts as usual. */
const USUAL_SHARE = 0.98;

interface KnownReport {
  readonly report: RolloutReport;
  /** Newest counts of all reports of the process. */
  readonly counts: readonly RouteCounts[];
  readonly receivedAt: number;
}

/** Next phase of an order and what determined it. */
export interface Decision {
  readonly phase: RolloutPhase;
  readonly reason: string;
  readonly judgement: Judgement;
  readonly reports: number;
  readonly ageMs: number;
}

/** Reports on one order. */
export class RolloutDecider {
  readonly #reports = new Map<string, KnownReport>();

  /** Takes a report; false when it leaves counts out that are not known. */
  receive(report: RolloutReport, now: number): boolean {
    const before = report.isWhole ? [] : this.#reports.get(report.from)?.counts;
    const counts = new Map(
      [...before ?? [], ...report.counts.map(decodeCounts)]
        .map((one) => [keyOf(one), one]),
    );
    this.#reports.set(report.from, {
      report,
      counts: [...counts.values()].slice(0, MAX_ROLLOUT_COUNTS),
      receivedAt: now,
    });
    return before !== undefined;
  }

  /** True while another process that hears from the store reports here. */
  isOtherConnected(self: string, now: number): boolean {
    return this.#fresh(now)
      .some(({ report }) => report.from !== self && report.hasStore);
  }

  /** Monotonic time at which another process last reported here. */
  askedAt(self: string): number {
    return Math.max(
      ...[...this.#reports.values()]
        .filter(({ report }) => report.from !== self)
        .map(({ receivedAt }) => receivedAt),
    );
  }

  /** Returns the next phase of an order; undefined while none is due. */
  decide(
    rollout: PoolRollout,
    state: FleetState,
    { now, hasAll, entries }: {
      readonly now: number;
      /** True when all usable entries have had the time to report here. */
      readonly hasAll: boolean;
      /** Names of the usable entries. */
      readonly entries: readonly string[];
    },
  ): Decision | undefined {
    const { pool, order } = rollout.listed;
    const evidence = sumOfCounts(
      [...this.#reports.values()].flatMap(({ counts }) => counts),
    );
    const news = state.usable(pool, now).filter((one) => rollout.isNew(one));
    const ageMs = rollout.ageMs(now);
    const times = timesOf(order.durationMs, usualMs(evidence.all));
    const isLast = ageMs >=
      (rollout.phase === RolloutPhase.Observing
        ? times.shiftAt
        : times.completeAt);
    const judgement = judge(evidence, {
      looks: order.durationMs / LOOK_MS,
      isLast,
      hasSeveralTargets: news.length > 1,
    });
    const fresh = this.#fresh(now);
    const reporters = new Set(fresh.map(({ report }) => report.from));
    const isReportedBad = fresh.some(({ report }) => report.isBad);
    const next = nextPhase({
      phase: rollout.phase,
      ageMs,
      times,
      shiftedMs: now - rollout.shiftedAt,
      judgement: { ...judgement, isBad: judgement.isBad || isReportedBad },
      hasNewTargets: news.length > 0,
      hasAll,
      isSettled: entries.every((name) => reporters.has(name)) &&
        fresh.every(({ report, receivedAt }) =>
          receivedAt > rollout.shiftedAt &&
          report.phase === RolloutPhase.Shifting && report.openElsewhere === 0
        ),
    });
    return next && { ...next, judgement, reports: fresh.length, ageMs };
  }

  #fresh(now: number): readonly KnownReport[] {
    return [...this.#reports.values()]
      .filter(({ receivedAt }) => now - receivedAt < REPORT_TTL_MS);
  }
}

/** Time within which almost all requests to the other builds have ended. */
function usualMs(all: readonly RouteCounts[]): number {
  return Math.max(
    0,
    ...all.filter(({ target, measure }) =>
      target === undefined && measure === Measure.Whole
    ).map(({ times }) => {
      const total = totalOf(times);
      const steps = [...times.keys()].sort((a, b) => a - b);
      const step = steps.find((one) =>
        totalFrom(times, one + 1) <= total * (1 - USUAL_SHARE)
      );
      return step === undefined ? 0 : 2 ** ((step + 1) / 2);
    }),
  );
}

/** Encodes counts for a report. */
export function encodeCounts(all: readonly RouteCounts[]): SentCounts[] {
  return all.map(({ route, measure, target = "", failed, times, open }) =>
    [
      route,
      measure,
      target,
      failed,
      [...times].flat(),
      [...open].flat(),
    ] satisfies SentCounts
  );
}

function decodeCounts(
  [route, measure, target, failed, times, open]: SentCounts,
): RouteCounts {
  return {
    route,
    measure,
    target: target === "" ? undefined : target,
    failed,
    times: toSteps(times),
    open: toSteps(open),
  };
}

function toSteps(numbers: readonly number[]): ReadonlyMap<number, number> {
  return new Map(
    numbers.flatMap((step, i) =>
      i % 2 === 0 ? [[step, numbers[i + 1] ?? 0] as const] : []
    ),
  );
}
