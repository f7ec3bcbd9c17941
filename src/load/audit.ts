/**
 * Compares the outcomes reported to callers with the services' records.
 *
 * @module
 */

import { type Outcome, ReportedOutcome } from "./caller.ts";

/** Number of filings that a service recorded for a marker. */
export interface FilingRecord {
  readonly marker: string;
  readonly count: number;
}

/** Counts of violated guarantees; all have to be zero. */
export interface Audit {
  /** Markers with more than one recorded filing. */
  readonly doubled: number;
  /** Requests reported as done whose filing no service recorded. */
  readonly lost: number;
  /** Responses whose output lacks the marker or has another request's. */
  readonly misdelivered: number;
  /** Requests reported as not run whose filing was recorded. */
  readonly falselyNotRun: number;
}

/** Checks the outcomes of a run against the services' records. */
export function audit(
  outcomes: readonly Outcome[],
  filings: readonly FilingRecord[],
): Audit {
  const counts = new Map<string, number>();
  filings.forEach(({ marker, count }) =>
    counts.set(marker, (counts.get(marker) ?? 0) + count)
  );
  const filingCount = (outcome: Outcome) =>
    counts.get(outcome.arrival.marker) ?? 0;
  const filingOutcomes = outcomes.filter(({ arrival }) =>
    arrival.workload.files
  );
  return {
    doubled: [...counts.values()].filter((times) => times > 1).length,
    lost:
      filingOutcomes.filter((outcome) =>
        outcome.reported === ReportedOutcome.Done && filingCount(outcome) === 0
      ).length,
    misdelivered: outcomes.filter(({ misdelivered }) => misdelivered).length,
    falselyNotRun:
      filingOutcomes.filter((outcome) =>
        outcome.reported === ReportedOutcome.NotRun && filingCount(outcome) > 0
      ).length,
  };
}
