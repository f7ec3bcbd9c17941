import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { notRun, outcomeUnknown, RefusalReason } from "../model/mod.ts";
import {
  createRetryBudgets,
  earnFor,
  type RetryBudgets,
  spendFor,
} from "./budget.ts";
import { finalRefusal, hedgeAfterMs, mayRetry } from "./policy.ts";

const CFG = { ratio: 0.1, max: 3 };
const NAMES = ["organisation/a", "organisation/b", "target/1"];
const RUNS = 2_000;

const overLimit = notRun(RefusalReason.OverLimit, "Full");
const silent = outcomeUnknown(RefusalReason.Silent, "Cut off");

test("mayRetry() rejects non-idempotent calls that may have run", () => {
  assert.equal(mayRetry(silent, { idempotent: false, attempt: 1 }), false);
  assert.equal(mayRetry(overLimit, { idempotent: false, attempt: 1 }), true);
  assert.equal(mayRetry(silent, { idempotent: true, attempt: 1 }), true);
  assert.equal(mayRetry(overLimit, { idempotent: true, attempt: 3 }), false);
});

test("mayRetry() rejects reasons that another attempt cannot resolve", () => {
  const { KeyRunning, Superseded, KeyConflict, BadRequest } = RefusalReason;
  [KeyRunning, Superseded, KeyConflict, BadRequest].forEach((reason) =>
    assert.equal(
      mayRetry(notRun(reason, ""), { idempotent: true, attempt: 1 }),
      false,
    )
  );
});

test("finalRefusal() is unknown if any attempt is", () => {
  assert.equal(finalRefusal([overLimit, overLimit]).proof, "not-run");
  assert.equal(finalRefusal([silent, overLimit]).proof, "outcome-unknown");
  assert.equal(finalRefusal([silent, overLimit]).reason, "over-limit");
});

test("hedgeAfterMs() hedges idempotent calls with enough samples", () => {
  const wait = (
    overrides: { idempotent?: boolean; remainingMs?: number; count?: number } =
      {},
  ) =>
    hedgeAfterMs(
      { idempotent: true, remainingMs: 1_000, ...overrides },
      { count: overrides.count ?? 100, slowMs: 40 },
    );
  assert.equal(wait(), 40);
  assert.equal(wait({ idempotent: false }), undefined);
  assert.equal(wait({ remainingMs: 79 }), undefined);
  assert.equal(wait({ count: 10 }), undefined);
});

/*
 * Guards against unbounded retries. It fails when earnFor() has no bound, and
 * when spendFor() never refuses.
 */
test("spendFor() bounds retries by the successes of each name", () => {
  const steps = fc.array(
    fc.record({
      spend: fc.boolean(),
      names: fc.subarray(NAMES, { minLength: 1 }),
    }),
    { minLength: 20, maxLength: 200, size: "max" },
  );
  fc.assert(
    fc.property(steps, (history) => {
      let budgets: RetryBudgets = createRetryBudgets(CFG);
      const earned = new Map<string, number>();
      const spent = new Map<string, number>();
      const add = (counts: Map<string, number>, names: readonly string[]) =>
        names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
      history.forEach(({ spend, names }) => {
        const after = spend
          ? spendFor(budgets, names)
          : earnFor(budgets, names);
        if (!after) return;
        add(spend ? spent : earned, names);
        budgets = after;
      });
      NAMES.forEach((name) => {
        const bound = CFG.max + CFG.ratio * (earned.get(name) ?? 0);
        assert.ok((spent.get(name) ?? 0) <= bound + 1e-9);
      });
    }),
    { numRuns: RUNS, seed: 4 },
  );
});
