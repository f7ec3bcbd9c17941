/**
 * Compares what simulated callers were told with what the targets ran.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { Proof, RefusalReason } from "../model/mod.ts";
import { type Callers, DEADLINE_MS, type Telling } from "./callers.ts";
import { type Execution, markerOf } from "./sim_target.ts";

/** Result of an audit; all but the first four have to be zero. */
export interface SoakAudit {
  readonly requests: number;
  readonly done: number;
  readonly unknown: number;
  /** Keys whose outcome is unknown in the end: an operator resolves them. */
  readonly unresolved: number;
  readonly doubled: number;
  readonly lost: number;
  readonly misdelivered: number;
  readonly falselyNotRun: number;
  readonly late: number;
  /** Keys that end neither done nor unknown once all faults ended. */
  readonly stuck: number;
}

/** Time beyond the deadline by which an undisturbed entry answers, in ms. */
const SLACK_MS = 1_000;

/** Audits a run; every fault is reported as a violated invariant too. */
export function auditSoak(
  { tellings, lastTellings }: Pick<Callers, "tellings" | "lastTellings">,
  executions: readonly Execution[],
): SoakAudit {
  const filings = executions.filter(({ key }) => key !== "");
  const endOf = new Map(
    tellings.map(({ requestId, toldOrder }) => [requestId, toldOrder]),
  );
  const find = (name: string, bad: (telling: Telling) => boolean) => {
    const found = tellings.filter(bad);
    found.forEach((telling) => invariant(false, name, describe(telling)));
    return found.length;
  };
  return {
    requests: tellings.length,
    done: tellings.filter(({ told }) => told === "done").length,
    unknown: tellings.filter(({ told }) => told === Proof.OutcomeUnknown)
      .length,
    unresolved: lastTellings.filter(isUnresolved).length,
    doubled: countDoubled(filings),
    lost: find("done-means-filed", (one) => isLost(one, filings)),
    misdelivered: find("result-of-own-request", isMisdelivered),
    falselyNotRun: find(
      "not-run-is-true",
      (one) => ranAnyway(one, filings, endOf),
    ),
    late: find("answered-in-time", isLate),
    stuck: find(
      "key-ends",
      (one) =>
        lastTellings.includes(one) && one.told !== "done" && !isUnresolved(one),
    ),
  };
}

function isUnresolved({ reason }: Telling): boolean {
  return reason === RefusalReason.KeyUnknown;
}

function countDoubled(filings: readonly Execution[]): number {
  const counts = new Map<string, number>();
  filings.forEach(({ key }) => counts.set(key, (counts.get(key) ?? 0) + 1));
  const doubled = [...counts].filter(([, count]) => count > 1);
  doubled.forEach(([key]) => invariant(false, "at-most-once", key));
  return doubled.length;
}

/** True when a stage that had to run for the answer did not run. */
function isLost(
  { told, marker, spec }: Telling,
  filings: readonly Execution[],
): boolean {
  if (told !== "done") return false;
  return spec.stages.filter(({ idempotent }) => !idempotent)
    .some(({ name }) =>
      !filings.some(({ key }) => key === `k-${marker}/${name}`)
    );
}

function isMisdelivered({ told, marker, output, text }: Telling): boolean {
  if (told !== "done") return false;
  const whole = (output as { text?: string }).text;
  return markerOf(output) !== marker ||
    (whole !== undefined && text !== "" && text !== whole);
}

/**
 * True when a filing of the key ran before its caller was told "not run", or
 * ran afterwards for a request that was over by then. A caller that still
 * waits for another request with the key cannot conclude anything yet.
 */
function ranAnyway(
  { told, marker, toldOrder, spec }: Telling,
  filings: readonly Execution[],
  endOf: ReadonlyMap<string, number>,
): boolean {
  if (told !== Proof.NotRun) return false;
  const keys = spec.stages.map(({ name }) => `k-${marker}/${name}`);
  return filings.some((one) =>
    keys.includes(one.key) &&
    (one.order < toldOrder ||
      (endOf.get(one.requestId) ?? Infinity) <= toldOrder)
  );
}

function isLate({ sentAt, toldAt, entryDisturbed }: Telling): boolean {
  return !entryDisturbed && toldAt - sentAt > DEADLINE_MS + SLACK_MS;
}

function describe(one: Telling): string {
  const { marker, told, reason, requestId, spec } = one;
  const tookMs = Math.round(one.toldAt - one.sentAt);
  return `marker=${marker} pipeline=${spec.name} told=${told} ` +
    `reason=${reason} took_ms=${tookMs} request=${requestId}`;
}
