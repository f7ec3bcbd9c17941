/**
 * Summary of a load run.
 *
 * @module
 */

import { DurationHistogram, type DurationSummary } from "../telemetry/mod.ts";
import { type Outcome, ReportedOutcome } from "./caller.ts";

/** Cost of one stage: mean times per request and the sum of the tokens. */
export interface StageCostSummary {
  readonly requests: number;
  readonly meanServiceMs: number;
  readonly meanQueuedMs: number;
  readonly tokens: number;
}

/** Summary of a load run. */
export interface LoadReport {
  readonly requests: number;
  /** Fraction of the requests that were done within their deadline. */
  readonly attainment: number;
  readonly done: number;
  readonly refused: number;
  readonly outcomeUnknown: number;
  readonly unanswered: number;
  readonly latency: DurationSummary;
  /** Time from the planned arrival to the first text; streams only. */
  readonly firstText: DurationSummary;
  /** Time between consecutive pieces of text; streams only. */
  readonly textGap: DurationSummary;
  /** Requests that were sent more than once. */
  readonly repeated: number;
  /** Number of requests by reason. */
  readonly reasons: Readonly<Record<string, number>>;
  /** Cost of requests that were done, by `pipeline/stage`. */
  readonly costByStage: Readonly<Record<string, StageCostSummary>>;
}

/** Summarises the outcomes of a run. */
export function summarise(outcomes: readonly Outcome[]): LoadReport {
  const done = outcomes.filter(({ reported }) =>
    reported === ReportedOutcome.Done
  );
  const withinDeadline = done.filter(({ latencyMs, arrival }) =>
    latencyMs <= arrival.workload.deadlineMs
  );
  return {
    requests: outcomes.length,
    attainment: outcomes.length === 0
      ? 1
      : withinDeadline.length / outcomes.length,
    done: done.length,
    refused: count(outcomes, ReportedOutcome.NotRun),
    outcomeUnknown: count(outcomes, ReportedOutcome.OutcomeUnknown),
    unanswered: count(outcomes, ReportedOutcome.NoResponse),
    latency: summaryOf(done.map(({ latencyMs }) => latencyMs)),
    firstText: summaryOf(done.flatMap(({ firstTextMs }) => firstTextMs ?? [])),
    textGap: summaryOf(done.flatMap(({ textGapsMs }) => textGapsMs)),
    repeated: outcomes.filter(({ sendCount }) => sendCount > 1).length,
    reasons: reasonsOf(outcomes),
    costByStage: costsOf(done),
  };
}

function summaryOf(values: readonly number[]): DurationSummary {
  const durations = new DurationHistogram();
  values.forEach((ms) => durations.record(ms));
  return durations.summary();
}

function count(
  outcomes: readonly Outcome[],
  reported: ReportedOutcome,
): number {
  return outcomes.filter((outcome) => outcome.reported === reported).length;
}

function reasonsOf(outcomes: readonly Outcome[]): Record<string, number> {
  const reasons: Record<string, number> = {};
  outcomes.forEach(({ reason }) => {
    if (reason) reasons[reason] = (reasons[reason] ?? 0) + 1;
  });
  return reasons;
}

function costsOf(
  done: readonly Outcome[],
): Record<string, StageCostSummary> {
  const rows = done.flatMap(({ arrival, stages }) =>
    stages.map((cost) => ({
      name: `${arrival.workload.pipeline}/${cost.stage}`,
      cost,
    }))
  );
  const names = [...new Set(rows.map(({ name }) => name))].sort();
  return Object.fromEntries(names.map((name) => {
    const costs = rows.filter((row) => row.name === name)
      .map(({ cost }) => cost);
    const total = (read: (cost: typeof costs[number]) => number) =>
      costs.reduce((sum, cost) => sum + read(cost), 0);
    return [name, {
      requests: costs.length,
      meanServiceMs: total(({ serviceMs }) => serviceMs) / costs.length,
      meanQueuedMs: total(({ queuedMs }) => queuedMs) / costs.length,
      tokens: total(({ tokens }) => tokens),
    }];
  }));
}
