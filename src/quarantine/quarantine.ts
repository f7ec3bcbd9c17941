/**
 * Which segments of prompts are kept away from targets. A request as a whole
 * counts as a segment that only its repetitions share.
 *
 * A segment that was in progress at several crashes without a target ever
 * completing an answer on it in between is quarantined. Segments that a sound
 * prompt shares with it are in progress at the same crashes, so each crash is
 * attributed to one segment only, the most suspicious one.
 *
 * @module
 */

import type { CrashEvidence, CrashReport } from "./crash_evidence.ts";

/** Quarantine of one segment. */
export interface Quarantine {
  readonly segment: string;
  /** Separate crashes that are attributed to the segment. */
  readonly crashes: number;
  /** Monotonic time of the last of them. */
  readonly lastCrashAt: number;
}

/** Crashes after which a segment on which no answer is known is quarantined. */
export const MIN_CRASHES = 3;
/** Crashes after which one on which answers are known is quarantined. */
export const MIN_CRASHES_ONCE_SERVED = 5;
/**
 * Time after which the reports of all processes on a crash have arrived, in
 * milliseconds. Before, the prompt that caused it may be missing.
 */
export const SETTLE_MS = 400;
/** Time from the last crash to the first probe, in milliseconds. */
export const FIRST_PROBE_MS = 30_000;
/** Ratio of the times to the following probes. */
const PROBE_BACKOFF = 4;
/** Longest time between probes, in milliseconds. */
const MAX_PROBE_PAUSE_MS = 1_800_000;

/**
 * Time by which a call may seem to have been sent too early, in milliseconds:
 * the times of crashes shift as reports pass between processes.
 */
const SENT_AT_SLACK_MS = 20;

/** Newest call with a segment at a target that crashed; monotonic times. */
interface CrashedCall {
  readonly sentAt: number;
  readonly crashedAt: number;
}

/** How much speaks against a segment. */
interface Suspicion {
  readonly segment: string;
  readonly depth: number;
  readonly isServed: boolean;
}

interface Candidate extends Quarantine, Suspicion {}

/**
 * Returns the segments in quarantine at monotonic time `now`. `hasServed` tells
 * whether an answer on a segment is known from before the crashes.
 */
export function findQuarantined(
  evidence: CrashEvidence,
  { hasServed, now }: {
    hasServed: (segment: string) => boolean;
    now: number;
  },
): ReadonlyMap<string, Quarantine> {
  const isServed = (segment: string) =>
    evidence.survivedAt(segment) !== undefined || hasServed(segment);
  const found = new Map(
    recordedOf(evidence).map((one) => [one.segment, one] as const),
  );
  let unexplained = evidence.crashes.filter(({ suspects }) =>
    suspects.every(({ id }) => !found.has(id))
  );
  while (unexplained.length >= MIN_CRASHES) {
    const settled = unexplained.filter(({ at }) => at <= now - SETTLE_MS);
    const first = candidatesOf(unexplained, evidence, isServed)
      .sort(byCandidacy)
      .find((one) => !isContested(one, settled, isServed));
    if (!first) break;
    const { segment, crashes, lastCrashAt } = first;
    found.set(segment, { segment, crashes, lastCrashAt });
    unexplained = unexplained.filter(({ suspects }) =>
      suspects.every(({ id }) => id !== segment)
    );
  }
  return found;
}

/**
 * Returns the monotonic time from which one request with a quarantined segment
 * may test whether it still crashes targets.
 */
export function probeDueAt(
  { segment, crashes, lastCrashAt }: Quarantine,
  evidence: CrashEvidence,
): number {
  const pauseMs = Math.min(
    MAX_PROBE_PAUSE_MS,
    FIRST_PROBE_MS * PROBE_BACKOFF ** Math.max(0, crashes - MIN_CRASHES),
  );
  const probedAt = evidence.probedAt(segment) ?? Number.NEGATIVE_INFINITY;
  return Math.max(lastCrashAt, probedAt) + pauseMs;
}

/**
 * Quarantines that the store lists and no answer has ended, with the crashes
 * since they were learned.
 */
function recordedOf(evidence: CrashEvidence): readonly Quarantine[] {
  return [...evidence.recorded].flatMap(([segment, { crashes, at }]) => {
    const survivedAt = evidence.survivedAt(segment);
    if (survivedAt !== undefined && survivedAt >= at) return [];
    const later = evidence.crashes.filter((crash) =>
      crash.at > at && crash.suspects.some(({ id }) => id === segment)
    );
    return [{
      segment,
      crashes: crashes + later.length,
      lastCrashAt: later.at(-1)?.at ?? at,
    }];
  });
}

function candidatesOf(
  crashes: readonly CrashReport[],
  evidence: CrashEvidence,
  isServed: (segment: string) => boolean,
): Candidate[] {
  const counted = new Map<string, { depth: number; calls: CrashedCall[] }>();
  crashes.forEach(({ at, suspects }) =>
    suspects.forEach(({ id, depth, inProgressMs }) => {
      if (at <= (evidence.survivedAt(id) ?? Number.NEGATIVE_INFINITY)) return;
      const one = counted.get(id) ?? { depth, calls: [] };
      one.calls.push({ sentAt: at - inProgressMs, crashedAt: at });
      counted.set(id, one);
    })
  );
  return [...counted].flatMap(([segment, { depth, calls }]) => {
    const wasServed = isServed(segment);
    const needed = wasServed ? MIN_CRASHES_ONCE_SERVED : MIN_CRASHES;
    const lastCrashAt = calls.at(-1)?.crashedAt ?? Number.NEGATIVE_INFINITY;
    const count = countSeparate(calls);
    return count < needed ? [] : [{
      segment,
      depth,
      isServed: wasServed,
      crashes: count,
      lastCrashAt,
    }];
  });
}

/**
 * Counts crashes of which each hit a call that was sent after the previous one,
 * a retry in the same moment included. Others may have one cause: targets of a
 * failure domain end together. The calls are in the order of their crashes.
 */
function countSeparate(calls: readonly CrashedCall[]): number {
  let count = 0;
  let last = Number.NEGATIVE_INFINITY;
  calls.forEach(({ sentAt, crashedAt }) => {
    if (sentAt + SENT_AT_SLACK_MS <= last) return;
    last = crashedAt;
    count += 1;
  });
  return count;
}

/**
 * True when a more suspicious segment was in progress at all settled crashes of
 * a candidate: it may have been at the newer ones too, where its process has not
 * reported yet. So it is without any settled crash.
 */
function isContested(
  candidate: Candidate,
  settled: readonly CrashReport[],
  isServed: (segment: string) => boolean,
): boolean {
  const { segment, lastCrashAt } = candidate;
  const own = settled.filter(({ suspects }) =>
    suspects.some(({ id }) => id === segment)
  );
  const [first, ...others] = own;
  if (!first) return true;
  if (own.at(-1)?.at === lastCrashAt) return false;
  return first.suspects
    .filter(({ id }) =>
      others.every(({ suspects }) => suspects.some((one) => one.id === id))
    )
    .some(({ id, depth }) =>
      compareSuspicion(
        { segment: id, depth, isServed: isServed(id) },
        candidate,
      ) < 0
    );
}

/**
 * Orders segments, the most suspicious first: those on which no answer is known,
 * then the most specific ones.
 */
function compareSuspicion(a: Suspicion, b: Suspicion): number {
  return Number(a.isServed) - Number(b.isServed) || b.depth - a.depth;
}

/** The same for candidates, with those of more crashes before specific ones. */
function byCandidacy(a: Candidate, b: Candidate): number {
  return Number(a.isServed) - Number(b.isServed) || b.crashes - a.crashes ||
    b.depth - a.depth || (a.segment < b.segment ? -1 : 1);
}
