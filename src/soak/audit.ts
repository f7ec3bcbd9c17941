/**
 * Compares the outcomes that simulated callers received with the executions at
 * the targets.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";
import { Proof, RefusalReason } from "../model/mod.ts";
import { type Callers, DEADLINE_MS, type ReportedOutcome } from "./callers.ts";
import { type Execution, markerOf } from "./sim_target.ts";

/** Result of an audit; all counts but the first four have to be zero. */
export interface SoakAudit {
  readonly requests: number;
  readonly done: number;
  readonly unknown: number;
  /** Keys whose outcome stays unknown until an operator resolves it. */
  readonly unresolved: number;
  readonly doubled: number;
  readonly lost: number;
  readonly misdelivered: number;
  readonly falselyNotRun: number;
  readonly late: number;
  /** Keys that are neither done nor unknown after all faults have ended. */
  readonly stuck: number;
}

/**
 * Time after the deadline within which an entry that was not paused or killed
 * has to respond, in milliseconds.
 */
const DEADLINE_TOLERANCE_MS = 1_000;

/** Audits a run; each fault is also reported as a violated invariant. */
export function auditSoak(
  { outcomes, finalOutcomes }: Pick<Callers, "outcomes" | "finalOutcomes">,
  executions: readonly Execution[],
): SoakAudit {
  const filings = executions.filter(({ key }) => key !== "");
  const endSequences = new Map(
    outcomes.map(({ requestId, endSequence }) => [requestId, endSequence]),
  );
  const countViolations = (
    name: string,
    isViolation: (outcome: ReportedOutcome) => boolean,
  ) => {
    const violations = outcomes.filter(isViolation);
    violations.forEach((outcome) => invariant(false, name, describe(outcome)));
    return violations.length;
  };
  return {
    requests: outcomes.length,
    done: outcomes.filter(({ reported }) => reported === "done").length,
    unknown:
      outcomes.filter(({ reported }) => reported === Proof.OutcomeUnknown)
        .length,
    unresolved: finalOutcomes.filter(isUnresolved).length,
    doubled: countDuplicates(filings),
    lost: countViolations("done-means-filed", (one) => isLost(one, filings)),
    misdelivered: countViolations("result-of-own-request", isMisdelivered),
    falselyNotRun: countViolations(
      "not-run-is-true",
      (one) => isFalselyNotRun(one, filings, endSequences),
    ),
    late: countViolations("answered-in-time", isOverdue),
    stuck: countViolations(
      "key-ends",
      (one) =>
        finalOutcomes.includes(one) && one.reported !== "done" &&
        !isUnresolved(one),
    ),
  };
}

function isUnresolved({ reason }: ReportedOutcome): boolean {
  return reason === RefusalReason.KeyUnknown;
}

function countDuplicates(filings: readonly Execution[]): number {
  const counts = new Map<string, number>();
  filings.forEach(({ key }) => counts.set(key, (counts.get(key) ?? 0) + 1));
  const duplicates = [...counts].filter(([, count]) => count > 1);
  duplicates.forEach(([key]) => invariant(false, "at-most-once", key));
  return duplicates.length;
}

/** True when a request is done although one of its filings did not run. */
function isLost(
  { reported, marker, spec }: ReportedOutcome,
  filings: readonly Execution[],
): boolean {
  if (reported !== "done") return false;
  return spec.stages.filter(({ idempotent }) => !idempotent)
    .some(({ name }) =>
      !filings.some(({ key }) => key === `k-${marker}/${name}`)
    );
}

function isMisdelivered(
  { reported, marker, output, text }: ReportedOutcome,
): boolean {
  if (reported !== "done") return false;
  const fullText = (output as { text?: string }).text;
  return markerOf(output) !== marker ||
    (fullText !== undefined && text !== "" && text !== fullText);
}

/**
 * True when a filing of the key ran before its caller received "not run", or
 * ran afterwards for a request that had ended by then. A request with the same
 * key that is still in flight may run, so its later filings do not count.
 */
function isFalselyNotRun(
  { reported, marker, endSequence, spec }: ReportedOutcome,
  filings: readonly Execution[],
  endSequences: ReadonlyMap<string, number>,
): boolean {
  if (reported !== Proof.NotRun) return false;
  const keys = spec.stages.map(({ name }) => `k-${marker}/${name}`);
  return filings.some((one) =>
    keys.includes(one.key) &&
    (one.sequence < endSequence ||
      (endSequences.get(one.requestId) ?? Infinity) <= endSequence)
  );
}

function isOverdue(
  { sentAt, endedAt, entryInterrupted }: ReportedOutcome,
): boolean {
  return !entryInterrupted &&
    endedAt - sentAt > DEADLINE_MS + DEADLINE_TOLERANCE_MS;
}

function describe(one: ReportedOutcome): string {
  const { marker, reported, reason, requestId, spec } = one;
  const tookMs = Math.round(one.endedAt - one.sentAt);
  return `marker=${marker} pipeline=${spec.name} told=${reported} ` +
    `reason=${reason} took_ms=${tookMs} request=${requestId}`;
}
