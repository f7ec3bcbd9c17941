/**
 * Compares the responses that the callers of a chaos run got with the records
 * of the services.
 *
 * @module
 */

import { Proof } from "../model/mod.ts";
import type { Filing } from "../standin/mod.ts";
import type { ChaosOutcome } from "./chaos_callers.ts";

/** Result of an audit; all fields but the first five have to be zero. */
export interface ChaosAudit {
  readonly requests: number;
  readonly keys: number;
  readonly done: number;
  readonly notRun: number;
  /** Keys whose last request ended with an unknown outcome. */
  readonly unresolved: number;
  /** Markers that were filed more than once. */
  readonly doubled: number;
  /** Filings reported as done that no service recorded. */
  readonly lost: number;
  /** Responses with the output of another request. */
  readonly misdelivered: number;
  /** Requests reported as not run whose filing ran. */
  readonly falselyNotRun: number;
}

/** Audits the responses of a run against the services' records. */
export function auditChaos(
  outcomes: readonly ChaosOutcome[],
  filings: readonly Filing[],
): ChaosAudit {
  const outcomesByMarker = groupBy(outcomes, ({ arrival }) => arrival.marker);
  const filingsByMarker = groupBy(filings, ({ marker }) => marker);
  const filingCountOf = (marker: string) =>
    (filingsByMarker.get(marker) ?? []).reduce(
      (sum, { count }) => sum + count,
      0,
    );
  const reportedAs = (what: ChaosOutcome["reported"]) =>
    outcomes.filter((one) => one.reported === what);
  return {
    requests: outcomes.length,
    keys: outcomesByMarker.size,
    done: reportedAs("done").length,
    notRun: reportedAs(Proof.NotRun).length,
    unresolved: [...outcomesByMarker.values()].filter(isUnresolved).length,
    doubled:
      [...filingsByMarker.keys()].filter((marker) => filingCountOf(marker) > 1)
        .length,
    lost:
      reportedAs("done").filter(({ arrival }) =>
        arrival.workload.files && filingCountOf(arrival.marker) === 0
      ).length,
    misdelivered: outcomes.filter(({ misdelivered }) => misdelivered).length,
    falselyNotRun: reportedAs(Proof.NotRun).filter((one) => {
      const { marker } = one.arrival;
      return isFalselyNotRun(one, {
        filing: filingsByMarker.get(marker)?.[0],
        all: outcomesByMarker.get(marker) ?? [],
      });
    }).length,
  };
}

function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const group = groups.get(keyOf(item));
    if (group) group.push(item);
    else groups.set(keyOf(item), [item]);
  });
  return groups;
}

function isUnresolved(outcomes: readonly ChaosOutcome[]): boolean {
  return outcomes.at(-1)?.reported === Proof.OutcomeUnknown;
}

/**
 * True when the filing was recorded before "not run" was reported, or
 * afterwards for a request that had ended by then. A filing afterwards for a
 * request that was still running does not contradict the report.
 */
function isFalselyNotRun(
  { endedAt }: ChaosOutcome,
  { filing, all }: { filing?: Filing; all: readonly ChaosOutcome[] },
): boolean {
  if (!filing) return false;
  if (filing.at < endedAt) return true;
  const requestId = filing.callId.split("/")[0];
  const known = all.find((one) => one.requestId === requestId);
  if (known) return known.endedAt <= endedAt;
  const noResponse = all.filter(({ reported }) => reported === "nothing");
  return noResponse.every((one) => one.endedAt <= endedAt);
}
