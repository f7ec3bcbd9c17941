import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MAX_PREFIX_CHARS, MIN_PREFIX_CHARS, prefixKey } from "./prefix.ts";

const SEED = 51;
const text = (length: number) =>
  fc.string({ minLength: length, maxLength: length + 50 });

test("prefixKey() is shared by prompts that share their prefix", () => {
  fc.assert(
    fc.property(text(MAX_PREFIX_CHARS), text(0), text(0), (shared, a, b) => {
      assert.equal(prefixKey(shared + a), prefixKey(shared + b));
    }),
    { seed: SEED, numRuns: 50 },
  );
});

test("prefixKey() covers all text before its last block", () => {
  const rest = "x".repeat(MIN_PREFIX_CHARS);
  assert.notEqual(prefixKey(`a${rest}`), prefixKey(`b${rest}`));
});

test("prefixKey() gives no key to a short prompt", () => {
  assert.equal(prefixKey("x".repeat(MIN_PREFIX_CHARS - 1)), undefined);
});
