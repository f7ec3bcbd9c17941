import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MAX_PREFIX_CHARS, MIN_PREFIX_CHARS, prefixKey } from "./prefix.ts";

const SEED = 51;
const textFrom = (length: number) =>
  fc.string({ minLength: length, maxLength: length + 50 });

test("prefixKey() returns equal keys for prompts with the same prefix", () => {
  fc.assert(
    fc.property(
      textFrom(MAX_PREFIX_CHARS),
      textFrom(0),
      textFrom(0),
      (shared, a, b) => {
        assert.equal(prefixKey(shared + a), prefixKey(shared + b));
      },
    ),
    { seed: SEED, numRuns: 50 },
  );
});

test("prefixKey() covers all text before its last block", () => {
  const rest = "x".repeat(MIN_PREFIX_CHARS);
  assert.notEqual(prefixKey(`a${rest}`), prefixKey(`b${rest}`));
});

test("prefixKey() returns undefined for a short prompt", () => {
  assert.equal(prefixKey("x".repeat(MIN_PREFIX_CHARS - 1)), undefined);
});
