/**
 * Compares what the callers of a chaos run were told with what the services
 * recorded.
 *
 * @module
 */

import { Proof } from "../model/mod.ts";
import type { Filing } from "../standin/mod.ts";
import type { ChaosTelling } from "./chaos_callers.ts";

/** Result of an audit; all but the first five have to be zero. */
export interface ChaosAudit {
  readonly requests: number;
  readonly keys: number;
  readonly done: number;
  readonly notRun: number;
  /** Keys that end with an unknown outcome. */
  readonly unresolved: number;
  readonly doubled: number;
  readonly lost: number;
  readonly misdelivered: number;
  readonly falselyNotRun: number;
}

/** Audits a run. */
export function auditChaos(
  tellings: readonly ChaosTelling[],
  filings: readonly Filing[],
): ChaosAudit {
  const byMarker = groupBy(tellings, ({ arrival }) => arrival.marker);
  const filed = groupBy(filings, ({ marker }) => marker);
  const countOf = (marker: string) =>
    (filed.get(marker) ?? []).reduce((sum, { count }) => sum + count, 0);
  const told = (what: ChaosTelling["told"]) =>
    tellings.filter((one) => one.told === what);
  return {
    requests: tellings.length,
    keys: byMarker.size,
    done: told("done").length,
    notRun: told(Proof.NotRun).length,
    unresolved: [...byMarker.values()].filter(isUnresolved).length,
    doubled: [...filed.keys()].filter((marker) => countOf(marker) > 1).length,
    lost:
      told("done").filter(({ arrival }) =>
        arrival.work.files && countOf(arrival.marker) === 0
      ).length,
    misdelivered: tellings.filter(({ misdelivered }) => misdelivered).length,
    falselyNotRun: told(Proof.NotRun).filter((one) => {
      const { marker } = one.arrival;
      return ranAnyway(one, {
        filing: filed.get(marker)?.[0],
        all: byMarker.get(marker) ?? [],
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

function isUnresolved(tellings: readonly ChaosTelling[]): boolean {
  return tellings.at(-1)?.told === Proof.OutcomeUnknown;
}

/**
 * True when the filing was made before "not run" was told, or afterwards for a
 * request that was over by then.
 */
function ranAnyway(
  { toldAt }: ChaosTelling,
  { filing, all }: { filing?: Filing; all: readonly ChaosTelling[] },
): boolean {
  if (!filing) return false;
  if (filing.at < toldAt) return true;
  const requestId = filing.callId.split("/")[0];
  const known = all.find((one) => one.requestId === requestId);
  if (known) return known.toldAt <= toldAt;
  const unanswered = all.filter(({ told }) => told === "nothing");
  return unanswered.every((one) => one.toldAt <= toldAt);
}
