/**
 * Work of this process at its targets, their load reports and learned pace, from
 * which the capacity of a target for a further request follows.
 *
 * @module
 */

import {
  INITIAL_PROFILE,
  type ListedTarget,
  type LoadReport,
  memoryTokens,
  NO_PACE_ERRORS,
  NOMINAL_PACE,
  observeEvents,
  observePace,
  type PaceErrors,
  paceFactor,
  type PacePrediction,
  type PoolProfile,
  predictPace,
  type RequestWork,
  SentPrompts,
  serviceMsOf,
  startKey,
  stepMs,
  type TargetCapacity,
  type TargetPace,
  type TimedCandidate,
  withDelay,
  withPaceError,
  withSample,
  withServiceMs,
  withSlowdown,
} from "../serving/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";

/** Call in flight, with the work that it still needs. */
interface OpenCall {
  readonly sentAt: number;
  readonly memoryTokens: number;
  /** Prompt tokens that the target has yet to read. */
  unreadTokens: number;
}

interface TargetWork {
  report?: LoadReport;
  reportedAt: number;
  /** Time of the newest report that stated the slowdown. */
  slowdownAt: number;
  usualLoad: number;
  pace: TargetPace;
  readonly sent: SentPrompts;
  readonly open: Set<OpenCall>;
}

/** Events of a stream after the first one. */
export interface WrittenEvents {
  readonly count: number;
  /** Time from the first to the last one, in milliseconds. */
  readonly ms: number;
}

/** What a call tells of its target and pool. */
export interface WorkCall {
  /** Records that the first bytes of a result arrived after `ms`, at `now`. */
  begun(ms: number, now: number): void;
  /** Records that the call succeeded after `ms`. */
  completed(ms: number, events?: WrittenEvents): void;
  /** Ends the call in any case. */
  ended(): void;
}

/** Call that begins. */
export interface CallStart {
  readonly pool: string;
  readonly target: ListedTarget;
  readonly work?: RequestWork;
  readonly timed?: TimedCandidate;
  readonly now: number;
}

/**
 * Time for which a pool counts as one whose targets state their slowdown after
 * the last statement, in milliseconds.
 */
const SLOWDOWN_REPORTS_TTL_MS = 10_000;
/** Fewest events from which the pace of a stream is read. */
const MIN_EVENTS = 10;
/**
 * Time between events, as a multiple of the nominal step, below which they have
 * arrived together, for instance after a stall of this process.
 */
const MIN_EVENT_RATIO = 1 / 8;
/** Weight of a new report in the usual load of its target. */
const USUAL_LOAD_SMOOTHING = 0.1;

/** Tracks work by start of a target and by pool. */
export class WorkAtTargets {
  readonly #targets = new Map<string, TargetWork>();
  readonly #profiles = new Map<string, PoolProfile>();
  readonly #sent = new Map<string, SentPrompts>();
  readonly #errors = new Map<string, PaceErrors>();
  readonly #metrics: Pick<Metrics, "durations"> | undefined;

  constructor(metrics?: Pick<Metrics, "durations">) {
    this.#metrics = metrics;
  }

  /** True when one of the targets states its slowdown in its reports. */
  isReported(targets: readonly ListedTarget[], now: number): boolean {
    return targets.some((target) => {
      const slowdownAt = this.#targets.get(startKey(target))?.slowdownAt;
      return slowdownAt !== undefined &&
        now - slowdownAt < SLOWDOWN_REPORTS_TTL_MS;
    });
  }

  /** Usual requests of a pool. */
  profileOf(pool: string): PoolProfile {
    return this.#profiles.get(pool) ?? INITIAL_PROFILE;
  }

  /** True when a segment was sent to a target of the pool before. */
  isKnown(pool: string, segment: string | undefined): boolean {
    return segment !== undefined && this.#sentTo(pool).has(segment);
  }

  /** Requests that a target says it runs concurrently. */
  slotsOf(target: ListedTarget): number | undefined {
    return this.#targets.get(startKey(target))?.report?.slots;
  }

  /** Records a load report. */
  report(target: ListedTarget, report: LoadReport, now: number): void {
    const record = this.#target(target);
    const load = report.running + report.waiting;
    record.usualLoad = record.report
      ? record.usualLoad + USUAL_LOAD_SMOOTHING * (load - record.usualLoad)
      : load;
    record.report = report;
    record.reportedAt = now;
    if (report.slowdown === undefined) return;
    record.slowdownAt = now;
    record.pace = withSlowdown(record.pace, report.slowdown, now);
  }

  /** Returns what a target can do for a request now. */
  capacityOf(
    target: ListedTarget,
    { pool, work, now }: {
      readonly pool: string;
      readonly work: RequestWork;
      readonly now: number;
    },
  ): TargetCapacity {
    const { report, reportedAt, usualLoad, pace, sent, open } = this.#target(
      target,
    );
    const own = totalOf(open);
    const newer = totalOf(open, reportedAt);
    return {
      report: report && {
        running: report.running,
        waiting: report.waiting,
        ageMs: now - reportedAt,
      },
      usualLoad,
      ownSinceReport: newer.calls,
      ownUnreadTokens: own.unreadTokens,
      ownUnreadSinceReport: newer.unreadTokens,
      ownMemoryTokens: own.memoryTokens,
      sentTokens: sent.heldTokens(work.parts, now),
      pace: paceFactor(pace, now, this.#errors.get(pool)),
    };
  }

  /** Records a call that is sent to a target. */
  begin({ pool, target, work, timed, now }: CallStart): WorkCall {
    const record = this.#target(target);
    const call: OpenCall = {
      sentAt: now,
      memoryTokens: work ? memoryTokens(work) : 0,
      unreadTokens: timed?.expected.unreadTokens ?? work?.promptTokens ?? 0,
    };
    record.open.add(call);
    if (work) {
      record.sent.record(work.parts, now);
      this.#sentTo(pool).record(work.parts, now);
    }
    const prediction = timed &&
      predictPace(record.pace, timed.expected.nominalMs, now);
    return {
      begun: (ms, at) => {
        call.unreadTokens = 0;
        if (!work || !timed || !prediction) return;
        this.#learn(pool, { record, work, timed, prediction, ms, now: at });
      },
      completed: (ms, events) => {
        const { usual, slowdown } = timed?.capacity.pace ??
          { usual: 1, slowdown: 1 };
        this.#addSample(pool, { residenceMs: ms / (usual * slowdown) });
        if (timed && events) this.#learnEvents(pool, record, timed, events);
      },
      ended: () => {
        record.open.delete(call);
      },
    };
  }

  /** Removes targets that are not listed and have no call in flight. */
  prune(listed: readonly ListedTarget[]): void {
    const starts = new Set(listed.map(startKey));
    [...this.#targets]
      .filter(([start, { open }]) => open.size === 0 && !starts.has(start))
      .forEach(([start]) => this.#targets.delete(start));
  }

  /** Learns from a measured time to the first event. */
  #learn(
    pool: string,
    { record, work, timed, prediction, ms, now }: {
      record: TargetWork;
      work: RequestWork;
      timed: TimedCandidate;
      prediction: PacePrediction;
      ms: number;
      now: number;
    },
  ): void {
    const { expected } = timed;
    const errorMs = ms - expected.expectedMs;
    this.#metrics?.durations("first_event_estimate_error", {
      pool,
      sign: errorMs < 0 ? "early" : "late",
    }).record(Math.abs(errorMs));
    const profile = this.profileOf(pool);
    if (work.promptTokens > 0) {
      this.#addSample(pool, {
        unreadTokens: expected.unreadTokens,
        heldTokens: memoryTokens(work),
      });
      const { usual, slowdown } = timed.capacity.pace;
      const excessMs = ms / (usual * slowdown) - expected.serviceMs -
        expected.waitMs;
      this.#profiles.set(
        pool,
        withDelay(this.profileOf(pool), expected.ahead, excessMs),
      );
    } else {
      const isKnown = profile.serviceMs.has(work.route);
      const serviceMs = isKnown
        ? serviceMsOf(profile, work.route) * ms /
          Math.max(1, expected.expectedMs)
        : ms;
      this.#profiles.set(pool, withServiceMs(profile, work.route, serviceMs));
      // The pace is relative to the usual time of the route.
      if (!isKnown) return;
    }
    const errors = this.#errors.get(pool) ?? NO_PACE_ERRORS;
    this.#errors.set(pool, withPaceError(errors, prediction, ms));
    record.pace = observePace(record.pace, prediction, {
      ms,
      serviceShare: expected.serviceMs / expected.nominalMs,
      now,
    });
  }

  #learnEvents(
    pool: string,
    record: TargetWork,
    { expected, candidate }: TimedCandidate,
    { count, ms }: WrittenEvents,
  ): void {
    if (count < MIN_EVENTS) return;
    const running = Math.min(expected.ahead, candidate.load.slots);
    const eventRatio = ms / count / stepMs(running);
    if (eventRatio < MIN_EVENT_RATIO) return;
    this.#addSample(pool, { eventRatio });
    const usual = this.profileOf(pool).eventRatio;
    record.pace = observeEvents(record.pace, eventRatio / usual);
  }

  #addSample(pool: string, sample: Parameters<typeof withSample>[1]): void {
    this.#profiles.set(pool, withSample(this.profileOf(pool), sample));
  }

  #sentTo(pool: string): SentPrompts {
    const found = this.#sent.get(pool);
    if (found) return found;
    const created = new SentPrompts();
    this.#sent.set(pool, created);
    return created;
  }

  #target(target: ListedTarget): TargetWork {
    const start = startKey(target);
    const found = this.#targets.get(start);
    if (found) return found;
    const created: TargetWork = {
      reportedAt: 0,
      slowdownAt: Number.NEGATIVE_INFINITY,
      usualLoad: 0,
      pace: NOMINAL_PACE,
      sent: new SentPrompts(),
      open: new Set(),
    };
    this.#targets.set(start, created);
    return created;
  }
}

/** Work of the calls that were sent at a time or later. */
function totalOf(
  open: ReadonlySet<OpenCall>,
  from = Number.NEGATIVE_INFINITY,
): { calls: number; unreadTokens: number; memoryTokens: number } {
  const total = { calls: 0, unreadTokens: 0, memoryTokens: 0 };
  open.forEach(({ sentAt, unreadTokens, memoryTokens }) => {
    if (sentAt < from) return;
    total.calls += 1;
    total.unreadTokens += unreadTokens;
    total.memoryTokens += memoryTokens;
  });
  return total;
}
