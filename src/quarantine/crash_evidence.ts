/**
 * What is known of crashes of targets, and of the prompts that were in progress
 * there. Records may come from any process, in any order and more than once.
 *
 * @module
 */

import type { PromptSegment } from "./prompt_segments.ts";

/** Segment of a prompt that was in progress at a target that crashed. */
export interface Suspect extends PromptSegment {
  /** Time from sending the newest call with it to the crash, in ms. */
  readonly inProgressMs: number;
}

/** Crash of one start of a target. */
export interface CrashReport {
  /** Identifies the start of the target. */
  readonly target: string;
  /** Monotonic time of the crash. */
  readonly at: number;
  /**
   * Segments of the prompts that were in progress at the target and had not
   * shown that it can write an answer on them.
   */
  readonly suspects: readonly Suspect[];
}

/** Time for which a crash is remembered, in milliseconds. */
export const CRASH_TTL_MS = 3_600_000;
/** Maximum number of crashes that are remembered; the oldest are discarded. */
export const MAX_CRASHES = 256;
/** Maximum number of segments of one report. */
export const MAX_SUSPECTS = 128;
/**
 * Time by which a survival or a probe has to be newer than the known one to
 * count as news, in milliseconds: ages change slightly between processes.
 */
const MIN_ADVANCE_MS = 500;

interface EvidenceRecords {
  readonly crashes: ReadonlyMap<string, CrashReport>;
  /** Monotonic times at which a target last wrote an answer on a suspect. */
  readonly survivals: ReadonlyMap<string, number>;
  /** Monotonic times of the last requests sent to test a suspect. */
  readonly probes: ReadonlyMap<string, number>;
  /** Quarantines that the store lists. */
  readonly recorded: ReadonlyMap<string, KnownQuarantine>;
}

/** Quarantine that was decided on crashes which may not be known here. */
export interface KnownQuarantine {
  readonly crashes: number;
  /** Monotonic time at which it was learned. */
  readonly at: number;
}

const EMPTY: EvidenceRecords = {
  crashes: new Map(),
  survivals: new Map(),
  probes: new Map(),
  recorded: new Map(),
};

/** Evidence against segments of prompts. Immutable. */
export class CrashEvidence {
  readonly #records: EvidenceRecords;
  /** Monotonic times of the last crashes by suspect. */
  readonly #lastCrashes: ReadonlyMap<string, number>;

  constructor(records: EvidenceRecords = EMPTY) {
    this.#records = records;
    this.#lastCrashes = new Map(
      this.crashes.flatMap(({ at, suspects }) =>
        suspects.map(({ id }) => [id, at] as const)
      ),
    );
  }

  /** Remembered crashes, the oldest first. */
  get crashes(): readonly CrashReport[] {
    return [...this.#records.crashes.values()].sort((a, b) => a.at - b.at);
  }

  /** Quarantines that the store lists, by segment. */
  get recorded(): ReadonlyMap<string, KnownQuarantine> {
    return this.#records.recorded;
  }

  /** Crash of a target, if one is remembered. */
  crashOf(target: string): CrashReport | undefined {
    return this.#records.crashes.get(target);
  }

  /** Time of the last survival of a suspect; undefined without one. */
  survivedAt(segment: string): number | undefined {
    return this.#records.survivals.get(segment);
  }

  /** Time of the last probe of a suspect; undefined without one. */
  probedAt(segment: string): number | undefined {
    return this.#records.probes.get(segment);
  }

  /** True when a crash after the last survival of a segment counts against it. */
  isSuspect(segment: string): boolean {
    const crashedAt = this.#lastCrashes.get(segment) ??
      this.recorded.get(segment)?.at;
    const survivedAt = this.survivedAt(segment) ?? Number.NEGATIVE_INFINITY;
    return crashedAt !== undefined && crashedAt > survivedAt;
  }

  /**
   * Returns the evidence with a crash, or with further suspects of a known one;
   * this evidence when it brings nothing new.
   */
  crashed(report: CrashReport): CrashEvidence {
    const known = this.#records.crashes.get(report.target);
    const suspects = union(known?.suspects ?? [], report.suspects);
    if (known && suspects.length === known.suspects.length) return this;
    const crashes = new Map(this.#records.crashes)
      .set(report.target, { ...report, at: known?.at ?? report.at, suspects });
    return this.#with({ crashes: newest(crashes) });
  }

  /**
   * Returns the evidence with exactly the quarantines that the store lists at
   * monotonic time `now`.
   */
  withRecorded(
    listed: readonly { readonly segment: string; readonly crashes: number }[],
    now: number,
  ): CrashEvidence {
    const before = this.recorded;
    const isSame = listed.length === before.size &&
      listed.every(({ segment }) => before.has(segment));
    if (isSame) return this;
    const recorded = new Map(
      listed.map(({ segment, crashes }) =>
        [segment, before.get(segment) ?? { crashes, at: now }] as const
      ),
    );
    return this.#with({ recorded });
  }

  /** Returns the evidence after a target wrote an answer on a suspect. */
  survived(segment: string, at: number): CrashEvidence {
    if (!this.#isKnown(segment)) return this;
    if (!isNews(this.survivedAt(segment), at)) return this;
    return this.#with({
      survivals: new Map(this.#records.survivals).set(segment, at),
    });
  }

  /** Returns the evidence after a request was sent to test a suspect. */
  probed(segment: string, at: number): CrashEvidence {
    if (!this.#isKnown(segment)) return this;
    if (!isNews(this.probedAt(segment), at)) return this;
    return this.#with({
      probes: new Map(this.#records.probes).set(segment, at),
    });
  }

  /**
   * Returns the evidence without what has expired by `now`; a recorded
   * quarantine without a crash for that long counts as survived.
   */
  pruned(now: number): CrashEvidence {
    const { crashes, survivals } = this.#records;
    const expired = [...this.recorded].filter(([segment, { at }]) => {
      const lastAt = Math.max(at, this.#lastCrashes.get(segment) ?? at);
      const hasEnded =
        (survivals.get(segment) ?? Number.NEGATIVE_INFINITY) > at;
      return now >= lastAt + CRASH_TTL_MS && !hasEnded;
    });
    if (expired.length > 0) {
      const ended = expired.map(([segment]) => [segment, now] as const);
      return this.#with({ survivals: new Map([...survivals, ...ended]) })
        .pruned(now);
    }
    const kept = new Map(
      [...crashes].filter(([, { at }]) => now < at + CRASH_TTL_MS),
    );
    return kept.size === crashes.size ? this : this.#with({ crashes: kept });
  }

  #isKnown(segment: string): boolean {
    return this.#lastCrashes.has(segment) || this.recorded.has(segment);
  }

  /** Replaces records and discards those about segments of no crash. */
  #with(changed: Partial<EvidenceRecords>): CrashEvidence {
    const next = { ...this.#records, ...changed };
    if (!changed.crashes && !changed.recorded) return new CrashEvidence(next);
    const { crashes, survivals, probes, recorded } = next;
    const listed = new Set(
      [...crashes.values()].flatMap(({ suspects }) =>
        suspects.map(({ id }) => id)
      ).concat([...recorded.keys()]),
    );
    const about = (times: ReadonlyMap<string, number>) =>
      new Map([...times].filter(([segment]) => listed.has(segment)));
    return new CrashEvidence({
      ...next,
      survivals: about(survivals),
      probes: about(probes),
    });
  }
}

function isNews(known: number | undefined, at: number): boolean {
  return known === undefined || at > known + MIN_ADVANCE_MS;
}

function union(
  known: readonly Suspect[],
  added: readonly Suspect[],
): readonly Suspect[] {
  const all = new Map<string, Suspect>();
  [...known, ...added].forEach((one) => {
    const inProgressMs = Math.min(
      one.inProgressMs,
      all.get(one.id)?.inProgressMs ?? one.inProgressMs,
    );
    all.set(one.id, { ...one, inProgressMs });
  });
  return [...all.values()].slice(0, MAX_SUSPECTS);
}

function newest(
  crashes: ReadonlyMap<string, CrashReport>,
): ReadonlyMap<string, CrashReport> {
  if (crashes.size <= MAX_CRASHES) return crashes;
  const kept = [...crashes].sort(([, a], [, b]) => b.at - a.at)
    .slice(0, MAX_CRASHES);
  return new Map(kept);
}
