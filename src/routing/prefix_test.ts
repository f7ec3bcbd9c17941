import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  PREFIX_BLOCK_CHARS,
  PREFIX_KEY_BLOCKS,
  prefixBlocks,
  prefixKey,
} from "./prefix.ts";

const SEED = 51;
const KEY_CHARS = PREFIX_BLOCK_CHARS * PREFIX_KEY_BLOCKS;
const text = (length: number) =>
  fc.string({ minLength: length, maxLength: length + 50 });

test("prefixKey() is shared by prompts that share their first blocks", () => {
  fc.assert(
    fc.property(text(KEY_CHARS), text(0), text(0), (shared, a, b) => {
      assert.equal(prefixKey(shared + a), prefixKey(shared + b));
    }),
    { seed: SEED, numRuns: 50 },
  );
});

test("prefixBlocks() covers all text before a block", () => {
  const block = "x".repeat(PREFIX_BLOCK_CHARS);
  const [, second] = prefixBlocks(block + block);
  const [, other] = prefixBlocks("y".repeat(PREFIX_BLOCK_CHARS) + block);
  assert.notEqual(second, other);
});

test("prefixKey() gives no key to a short prompt", () => {
  assert.equal(prefixKey("x".repeat(PREFIX_BLOCK_CHARS - 1)), undefined);
});
