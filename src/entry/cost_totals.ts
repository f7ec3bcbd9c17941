/**
 * Totals of cost by organisation, pipeline and stage at one entry.
 *
 * The number of rows is bounded: at the bound, costs without a row are
 * accounted to the organisation {@linkcode OTHER_ORGANISATIONS}. Metrics are
 * labelled by pipeline and stage only, since a time series for each
 * organisation would be too many for any collector.
 *
 * @module
 */

import {
  addCost,
  type Cost,
  type CostKey,
  type CostRow,
  ZERO_COST,
} from "../model/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";

/** Organisation to which costs beyond the bound are accounted. */
export const OTHER_ORGANISATIONS = "(other)";
/**
 * Default bound of the number of rows. Rows of {@linkcode OTHER_ORGANISATIONS},
 * one per pipeline and stage, may exceed it.
 */
export const DEFAULT_MAX_ROWS = 20_000;

/** Fields of {@linkcode Cost} and the names of their metrics. */
const COUNTERS = [
  ["attempts", "cost_attempts_total"],
  ["workMs", "cost_work_ms_total"],
  ["wastedMs", "cost_wasted_ms_total"],
  ["serviceMs", "cost_service_ms_total"],
  ["queuedMs", "cost_queued_ms_total"],
  ["tokens", "cost_tokens_total"],
  ["retries", "cost_retries_total"],
  ["hedges", "cost_hedges_total"],
] as const;

/** Sums costs by organisation, pipeline and stage. */
export class CostTotals {
  readonly #metrics: Metrics;
  readonly #maxRows: number;
  readonly #rows = new Map<string, CostRow>();

  constructor(opts: { metrics: Metrics; maxRows?: number }) {
    this.#metrics = opts.metrics;
    this.#maxRows = opts.maxRows ?? DEFAULT_MAX_ROWS;
  }

  get rows(): readonly CostRow[] {
    return [...this.#rows.values()];
  }

  /** Adds a cost to its row and to the metrics. */
  add(key: CostKey, cost: Partial<Cost>): void {
    const rowKey = this.#rows.has(rowId(key)) || this.#rows.size < this.#maxRows
      ? key
      : { ...key, organisation: OTHER_ORGANISATIONS };
    const { organisation, pipeline, stage } = rowKey;
    const previous = this.#rows.get(rowId(rowKey)) ?? ZERO_COST;
    this.#rows.set(rowId(rowKey), {
      organisation,
      pipeline,
      stage,
      ...addCost(previous, cost),
    });
    COUNTERS.forEach(([field, name]) => {
      const amount = cost[field];
      if (amount) this.#metrics.count(name, { pipeline, stage }, amount);
    });
  }
}

function rowId({ organisation, pipeline, stage }: CostKey): string {
  return JSON.stringify([organisation, pipeline, stage]);
}
