import assert from "node:assert/strict";
import { test } from "node:test";
import { AsyncQueue } from "./queue.ts";

// Fails when merge() always appends.
test("AsyncQueue.merge() merges into the newest item or appends", async () => {
  const queue = new AsyncQueue<string>();
  const merge = (text: string) =>
    queue.merge(text, (last) => last.endsWith("|") ? undefined : last + text);
  assert.deepEqual(["a", "b", "|", "c"].map(merge), [false, true, true, false]);
  queue.close();
  const read: string[] = [];
  for await (const item of queue) read.push(item);
  assert.deepEqual(read, ["ab|", "c"]);
});
