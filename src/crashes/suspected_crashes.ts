/**
 * Targets to which this process has lately lost connections, and the prompts
 * that were in progress there.
 *
 * @module
 */

import {
  type CrashReport,
  MAX_SUSPECTS,
  type PromptSegment,
} from "../quarantine/mod.ts";
import { startKey } from "../serving/mod.ts";
import type { BrokenCall } from "./call_watch.ts";
import type { WatchedTarget } from "./ports.ts";

/**
 * Time after a lost connection in which the end of the target's row shows that
 * it has crashed, in milliseconds: rows end after missed heartbeats.
 */
const UNDECIDED_MS = 8_000;
/** Maximum number of targets; the oldest are discarded. */
const MAX_TARGETS = 256;
/** Maximum number of segments that are kept of one target. */
const MAX_SEGMENTS = 1_024;

/** What is known of a target after a lost connection. */
const Phase = {
  /** A check of the target is under way. */
  Checking: "checking",
  /** The target may be up; the end of its row would show that it is not. */
  Undecided: "undecided",
  Confirmed: "confirmed",
} as const;
type Phase = typeof Phase[keyof typeof Phase];

/** Segment of a call whose connection was lost; monotonic times. */
interface InterruptedSegment extends PromptSegment {
  readonly sentAt: number;
  readonly brokenAt: number;
}

interface SuspectedCrash {
  readonly target: WatchedTarget;
  /** Monotonic time of the first lost connection. */
  readonly at: number;
  readonly suspects: Map<string, InterruptedSegment>;
  /** Segments of answers that ended with their connection. */
  readonly ended: Map<string, PromptSegment>;
  phase: Phase;
}

/** Suspected and confirmed crashes of one process. */
export class SuspectedCrashes {
  readonly #crashes = new Map<string, SuspectedCrash>();

  /**
   * Adds a lost connection; returns true when the target has to be checked
   * because of it.
   */
  add({ target, segments, sentAt, isEnd }: BrokenCall, at: number): boolean {
    const found = this.#find(target, at);
    const crash = found ?? this.#create(target, at);
    segments.slice(0, MAX_SEGMENTS - crash.suspects.size).forEach((one) => {
      const known = crash.suspects.get(one.id)?.sentAt ?? sentAt;
      crash.suspects.set(one.id, {
        ...one,
        sentAt: Math.max(known, sentAt),
        brokenAt: at,
      });
    });
    if (isEnd) segments.forEach((one) => crash.ended.set(one.id, one));
    return found === undefined;
  }

  /** Targets whose crash is suspected but not confirmed. */
  undecided(now: number): readonly WatchedTarget[] {
    return [...this.#crashes.values()]
      .filter(({ phase, at }) =>
        phase !== Phase.Confirmed && now < at + UNDECIDED_MS
      )
      .map(({ target }) => target);
  }

  /** True when a call with a segment has lost its connection since a time. */
  hasBroken(segment: string, since: number): boolean {
    return [...this.#crashes.values()].some(({ suspects }) => {
      const brokenAt = suspects.get(segment)?.brokenAt;
      return brokenAt !== undefined && brokenAt >= since;
    });
  }

  isConfirmed(target: WatchedTarget): boolean {
    return this.#crashes.get(startKey(target))?.phase === Phase.Confirmed;
  }

  confirm(target: WatchedTarget): void {
    const crash = this.#crashes.get(startKey(target));
    if (crash) crash.phase = Phase.Confirmed;
  }

  /** Records that the check of a target has not shown a crash. */
  leaveUndecided(target: WatchedTarget): void {
    const crash = this.#crashes.get(startKey(target));
    if (crash?.phase === Phase.Checking) crash.phase = Phase.Undecided;
  }

  /**
   * Takes the segments of answers that ended with their connection while the
   * target stayed up.
   */
  takeComplete(target: WatchedTarget): readonly PromptSegment[] {
    const crash = this.#crashes.get(startKey(target));
    if (!crash || crash.phase === Phase.Confirmed) return [];
    const complete = [...crash.ended.values()];
    complete.forEach(({ id }) => crash.suspects.delete(id));
    crash.ended.clear();
    return complete;
  }

  /**
   * Returns the report of a crash. If there are too many suspects, segments on
   * which answers are known are left out.
   */
  reportOf(
    target: WatchedTarget,
    isServed: (segment: string) => boolean,
  ): CrashReport | undefined {
    const crash = this.#crashes.get(startKey(target));
    if (!crash || crash.suspects.size === 0) return undefined;
    const suspects = [...crash.suspects.values()]
      .sort((a, b) => Number(isServed(a.id)) - Number(isServed(b.id)))
      .slice(0, MAX_SUSPECTS)
      .map(({ id, depth, sentAt }) => ({
        id,
        depth,
        inProgressMs: Math.max(0, crash.at - sentAt),
      }));
    return { target: startKey(target), at: crash.at, suspects };
  }

  /** Record to which a connection that was lost at `now` belongs. */
  #find(target: WatchedTarget, now: number): SuspectedCrash | undefined {
    const found = this.#crashes.get(startKey(target));
    if (!found || found.phase === Phase.Undecided) return undefined;
    return now < found.at + UNDECIDED_MS ? found : undefined;
  }

  #create(target: WatchedTarget, at: number): SuspectedCrash {
    const created: SuspectedCrash = {
      target,
      at,
      suspects: new Map(),
      ended: new Map(),
      phase: Phase.Checking,
    };
    const start = startKey(target);
    this.#crashes.delete(start);
    this.#crashes.set(start, created);
    if (this.#crashes.size > MAX_TARGETS) {
      const [oldest] = this.#crashes.keys();
      if (oldest !== undefined) this.#crashes.delete(oldest);
    }
    return created;
  }
}
