/**
 * Cost by organisation, pipeline and stage at one entry.
 *
 * The rows are bounded: past the bound, costs are accounted to the organisation
 * {@linkcode OTHER_ORGANISATIONS}. Metrics carry pipeline and stage alone, since a
 * series for each organisation would outgrow any collector.
 *
 * @module
 */

import {
  addCost,
  type Cost,
  type CostKey,
  type CostRow,
  NO_COST,
} from "../model/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";

/** Organisation that stands for those beyond the bound. */
export const OTHER_ORGANISATIONS = "(other)";
/** Most rows kept. */
export const MAX_ROWS = 20_000;

/** Counters of {@linkcode Cost} with their names in the metrics. */
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

/** Accumulates costs. */
export class CostBook {
  readonly #metrics: Metrics;
  readonly #maxRows: number;
  readonly #rows = new Map<string, CostRow>();

  constructor(opts: { metrics: Metrics; maxRows?: number }) {
    this.#metrics = opts.metrics;
    this.#maxRows = opts.maxRows ?? MAX_ROWS;
  }

  /** Every row. */
  get rows(): readonly CostRow[] {
    return [...this.#rows.values()];
  }

  /** Adds a cost. */
  add(key: CostKey, cost: Partial<Cost>): void {
    const at = this.#rows.has(idOf(key)) || this.#rows.size < this.#maxRows
      ? key
      : { ...key, organisation: OTHER_ORGANISATIONS };
    const { organisation, pipeline, stage } = at;
    const before = this.#rows.get(idOf(at)) ?? NO_COST;
    this.#rows.set(idOf(at), {
      organisation,
      pipeline,
      stage,
      ...addCost(before, cost),
    });
    COUNTERS.forEach(([member, name]) => {
      const by = cost[member];
      if (by) this.#metrics.count(name, { pipeline, stage }, by);
    });
  }
}

function idOf({ organisation, pipeline, stage }: CostKey): string {
  return JSON.stringify([organisation, pipeline, stage]);
}
