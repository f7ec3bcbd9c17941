/**
 * Cost of pipeline stages.
 *
 * @module
 */

import type { OrganisationId, PipelineName, StageName } from "./ids.ts";

/** Organisation, pipeline and stage to which a cost is attributed. */
export interface CostKey {
  readonly organisation: OrganisationId;
  readonly pipeline: PipelineName;
  readonly stage: StageName;
}

/** Accumulated cost; times are in milliseconds. */
export interface Cost {
  /** Attempts that ended. */
  readonly attempts: number;
  /** Attempts whose result was passed to the next stage or to the caller. */
  readonly results: number;
  /** Time from sending to the end, over all attempts. */
  readonly workMs: number;
  /** Part of `workMs` spent on attempts whose result was not used. */
  readonly wastedMs: number;
  /** Time at the targets, over the results. */
  readonly serviceMs: number;
  /** Time in the gates' queues, over the results. */
  readonly queuedMs: number;
  /** Tokens generated, over the results. */
  readonly tokens: number;
  readonly retries: number;
  readonly hedges: number;
}

/** Accumulated cost of one key. */
export type CostRow = CostKey & Cost;

/** Zero cost. */
export const ZERO_COST: Cost = {
  attempts: 0,
  results: 0,
  workMs: 0,
  wastedMs: 0,
  serviceMs: 0,
  queuedMs: 0,
  tokens: 0,
  retries: 0,
  hedges: 0,
};

/** Returns the sum of two costs. */
export function addCost(a: Cost, b: Partial<Cost>): Cost {
  return {
    attempts: a.attempts + (b.attempts ?? 0),
    results: a.results + (b.results ?? 0),
    workMs: a.workMs + (b.workMs ?? 0),
    wastedMs: a.wastedMs + (b.wastedMs ?? 0),
    serviceMs: a.serviceMs + (b.serviceMs ?? 0),
    queuedMs: a.queuedMs + (b.queuedMs ?? 0),
    tokens: a.tokens + (b.tokens ?? 0),
    retries: a.retries + (b.retries ?? 0),
    hedges: a.hedges + (b.hedges ?? 0),
  };
}

/** Sums the rows by `keyOf`, the key with the highest `workMs` first. */
export function sumCosts(
  rows: readonly CostRow[],
  keyOf: (row: CostRow) => CostKey,
): readonly CostRow[] {
  const totals = new Map<string, CostRow>();
  rows.forEach((row) => {
    const key = keyOf(row);
    const id = JSON.stringify([key.organisation, key.pipeline, key.stage]);
    totals.set(id, { ...key, ...addCost(totals.get(id) ?? ZERO_COST, row) });
  });
  return [...totals.values()].sort((a, b) => b.workMs - a.workMs);
}
