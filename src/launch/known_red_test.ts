import assert from "node:assert/strict";
import { test } from "node:test";
import { judge, parseKnownRed } from "./known_red.ts";

const LIST = "test: a() fails\nseed: 1\n\ntest: b() fails\nseed: 2\n";

test("parseKnownRed() reads one entry a block", () => {
  const names = parseKnownRed(LIST).map(({ test }) => test);
  assert.deepEqual(names, ["a() fails", "b() fails"]);
});

test("parseKnownRed() rejects an entry that names no test", () => {
  assert.throws(() => parseKnownRed("seed: 1"), /no line "test: NAME"/);
});

test("judge() passes over just the listed failures", () => {
  const verdict = judge(["a() fails", "c() fails"], parseKnownRed(LIST));
  assert.deepEqual(verdict.unexpected, ["c() fails"]);
  assert.deepEqual(verdict.expected.map(({ test }) => test), ["a() fails"]);
  assert.deepEqual(verdict.mended.map(({ test }) => test), ["b() fails"]);
});
