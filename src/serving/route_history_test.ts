import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteHistory } from "./route_history.ts";

function historyOf(deadlines: readonly number[]): RouteHistory {
  return deadlines.reduce(
    (history, deadlineMs) => history.record({ deadlineMs }),
    new RouteHistory(),
  );
}

test("RouteHistory.ageMs() is the time since a retried request began", () => {
  const history = historyOf([15_000, 15_000, 11_200, 15_000]);
  assert.equal(history.ageMs({ deadlineMs: 15_000 }), 0);
  assert.equal(history.ageMs({ deadlineMs: 11_000 }), 4_000);
});

test("RouteHistory.ageMs() is 0 while no usual deadline is known", () => {
  assert.equal(historyOf([]).ageMs({ deadlineMs: 1_000 }), 0);
  assert.equal(
    historyOf([15_000, 9_000, 12_000]).ageMs({ deadlineMs: 1_000 }),
    0,
  );
});

test("RouteHistory.ageMs() adapts when the usual deadline changes", () => {
  const history = historyOf([
    ...Array.from({ length: 10 }, () => 15_000),
    ...Array.from({ length: 64 }, () => 4_000),
  ]);
  assert.equal(history.ageMs({ deadlineMs: 4_000 }), 0);
});

test("RouteHistory.sizeRank() is the share of smaller requests", () => {
  const tokens = (prompt: number) => ({ tokens: { prompt, output: 10 } });
  const history = Array.from({ length: 20 }, (_, i) => tokens(100 * i))
    .reduce((all, one) => all.record(one), new RouteHistory());
  assert.equal(history.sizeRank(tokens(0)), 0);
  assert.equal(history.sizeRank(tokens(1_000)), 0.5);
  assert.equal(history.sizeRank(tokens(9_000)), 1);
  assert.equal(history.sizeRank({}), 1);
  assert.equal(new RouteHistory().sizeRank(tokens(1)), 1);
});
