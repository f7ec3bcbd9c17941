/**
 * Compares what callers were told with what the services recorded.
 *
 * @module
 */

import { type Outcome, Told } from "./caller.ts";

/** A filing as a service recorded it. */
export interface FilingRecord {
  readonly marker: string;
  readonly count: number;
}

/** Counts of broken promises; all must be zero. */
export interface Audit {
  /** Filings that ran more than once. */
  readonly doubled: number;
  /** Filings reported as done that no service recorded. */
  readonly lost: number;
  /** Answers that belong to another request. */
  readonly misdelivered: number;
  /** Requests reported as not run whose filing was recorded. */
  readonly falselyNotRun: number;
}

/** Audits the outcomes of a run against the services' records. */
export function audit(
  outcomes: readonly Outcome[],
  filings: readonly FilingRecord[],
): Audit {
  const counts = new Map<string, number>();
  filings.forEach(({ marker, count }) =>
    counts.set(marker, (counts.get(marker) ?? 0) + count)
  );
  const filed = (outcome: Outcome) => counts.get(outcome.arrival.marker) ?? 0;
  const filing = outcomes.filter(({ arrival }) => arrival.work.files);
  return {
    doubled: [...counts.values()].filter((times) => times > 1).length,
    lost:
      filing.filter((outcome) =>
        outcome.told === Told.Done && filed(outcome) === 0
      ).length,
    misdelivered: outcomes.filter(({ misdelivered }) => misdelivered).length,
    falselyNotRun:
      filing.filter((outcome) =>
        outcome.told === Told.NotRun && filed(outcome) > 0
      ).length,
  };
}
