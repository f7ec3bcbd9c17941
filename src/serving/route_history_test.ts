import assert from "node:assert/strict";
import { test } from "node:test";
import { RouteHistory } from "./route_history.ts";

function historyOf(deadlines: readonly number[]): RouteHistory {
  return deadlines.reduce(
    (history, one) => history.note(one),
    new RouteHistory(),
  );
}

test("RouteHistory.ageMs() is the time that a returning caller has lost", () => {
  const history = historyOf([15_000, 15_000, 11_200, 15_000]);
  assert.equal(history.ageMs(15_000), 0);
  assert.equal(history.ageMs(11_000), 4_000);
});

test("RouteHistory.ageMs() is 0 while no usual deadline is known", () => {
  assert.equal(historyOf([]).ageMs(1_000), 0);
  assert.equal(historyOf([15_000, 9_000, 12_000]).ageMs(1_000), 0);
});

test("RouteHistory.ageMs() follows a deadline that was changed", () => {
  const history = historyOf([
    ...Array.from({ length: 10 }, () => 15_000),
    ...Array.from({ length: 64 }, () => 4_000),
  ]);
  assert.equal(history.ageMs(4_000), 0);
});
