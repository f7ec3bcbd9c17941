import assert from "node:assert/strict";
import { test } from "node:test";
import { AsyncQueue } from "./queue.ts";

// Seen to fail with merge() always adding.
test("AsyncQueue.merge() joins what waits and nothing that was read", async () => {
  const queue = new AsyncQueue<string>();
  const join = (text: string) =>
    queue.merge(text, (last) => last.endsWith("|") ? undefined : last + text);
  assert.deepEqual(["a", "b", "|", "c"].map(join), [false, true, true, false]);
  queue.close();
  const read: string[] = [];
  for await (const item of queue) read.push(item);
  assert.deepEqual(read, ["ab|", "c"]);
});
