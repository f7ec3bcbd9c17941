import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type CostKey, sumCosts } from "../model/mod.ts";
import { Metrics } from "../telemetry/mod.ts";
import { CostTotals, OTHER_ORGANISATIONS } from "./cost_totals.ts";

const SEED = 61;
const MAX_ROWS = 6;

const key = (organisation: string, stage = "s"): CostKey => ({
  organisation,
  pipeline: "p",
  stage,
});

const additions = fc.array(
  fc.record({
    organisation: fc.integer({ min: 0, max: 20 }).map((n) => `c${n}`),
    stage: fc.constantFrom("s", "t"),
    workMs: fc.integer({ min: 1, max: 100 }),
    tokens: fc.integer({ min: 0, max: 50 }),
  }),
  { maxLength: 60 },
);

// Fails when the number of rows has no bound.
test("CostTotals bounds its rows and loses no cost", () => {
  fc.assert(
    fc.property(additions, (costs) => {
      const totals = new CostTotals({
        metrics: new Metrics(),
        maxRows: MAX_ROWS,
      });
      costs.forEach(({ organisation, stage, ...cost }) =>
        totals.add(key(organisation, stage), cost)
      );
      const total = (
        valueOf: (row: { workMs: number; tokens: number }) => number,
      ) => totals.rows.reduce((sum, row) => sum + valueOf(row), 0);
      assert.equal(
        total(({ workMs }) => workMs),
        costs.reduce((sum, { workMs }) => sum + workMs, 0),
      );
      assert.equal(
        total(({ tokens }) => tokens),
        costs.reduce((sum, { tokens }) => sum + tokens, 0),
      );
      const named = totals.rows.filter(({ organisation }) =>
        organisation !== OTHER_ORGANISATIONS
      );
      assert.ok(named.length <= MAX_ROWS);
      assert.ok(totals.rows.length <= MAX_ROWS + 2);
    }),
    { seed: SEED, numRuns: 100 },
  );
});

test("CostTotals exposes costs by pipeline and stage, not by organisation", () => {
  const metrics = new Metrics();
  const totals = new CostTotals({ metrics });
  totals.add(key("c1"), { workMs: 5, wastedMs: 2 });
  totals.add(key("c2"), { workMs: 7 });
  assert.equal(metrics.total("cost_work_ms_total"), 12);
  assert.equal(metrics.total("cost_wasted_ms_total"), 2);
  assert.ok(!metrics.text().includes("c1"));
});

test("sumCosts() sums rows of one key, the costliest first", () => {
  const totals = new CostTotals({ metrics: new Metrics() });
  totals.add(key("c1", "s"), { workMs: 5 });
  totals.add(key("c2", "t"), { workMs: 30 });
  totals.add(key("c2", "s"), { workMs: 7 });
  const sums = sumCosts(totals.rows, (row) => ({ ...row, organisation: "" }));
  assert.deepEqual(
    sums.map(({ stage, workMs }) => [stage, workMs]),
    [["t", 30], ["s", 12]],
  );
});
