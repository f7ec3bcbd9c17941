import assert from "node:assert/strict";
import { test } from "node:test";
import { classifyFailures, parseKnownRed } from "./known_red.ts";

const LIST = "test: a() fails\nseed: 1\n\ntest: b() fails\nseed: 2\n";

test("parseKnownRed() reads one entry per block", () => {
  const names = parseKnownRed(LIST).map(({ test }) => test);
  assert.deepEqual(names, ["a() fails", "b() fails"]);
});

test("parseKnownRed() rejects an entry that names no test", () => {
  assert.throws(() => parseKnownRed("seed: 1"), /no line "test: NAME"/);
});

test("classifyFailures() accepts only the listed failures", () => {
  const report = classifyFailures(
    ["a() fails", "c() fails"],
    parseKnownRed(LIST),
  );
  assert.deepEqual(report.unexpected, ["c() fails"]);
  assert.deepEqual(report.expected.map(({ test }) => test), ["a() fails"]);
  assert.deepEqual(report.fixed.map(({ test }) => test), ["b() fails"]);
});
