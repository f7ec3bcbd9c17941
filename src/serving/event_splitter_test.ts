import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventSplitter } from "./event_splitter.ts";

function stream(count: number, newline: string): string {
  return Array.from(
    { length: count },
    (_, i) => `id: ${i + 1}${newline}data: text ${i}${newline}${newline}`,
  ).join("");
}

test("EventSplitter.push() emits whole events for any chunk boundaries", () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 12 }),
    fc.constantFrom("\n", "\r\n"),
    fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 1 }),
    (count, newline, cuts) => {
      const all = Buffer.from(stream(count, newline));
      const splitter = new EventSplitter();
      const out: Buffer[] = [];
      let lastId: string | undefined;
      for (let at = 0, i = 0; at < all.length; i++) {
        const size = cuts[i % cuts.length] ?? 1;
        const whole = splitter.push(all.subarray(at, at + size));
        at += size;
        if (!whole) continue;
        out.push(whole.bytes);
        lastId = whole.lastId ?? lastId;
        const text = whole.bytes.toString();
        assert.ok(text.endsWith(newline + newline));
      }
      assert.equal(Buffer.concat(out).toString(), all.toString());
      assert.equal(lastId, String(count));
      assert.equal(splitter.rest.length, 0);
    },
  ));
});

test("EventSplitter.push() buffers an incomplete event", () => {
  const splitter = new EventSplitter();
  const whole = splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda"));
  assert.equal(whole?.bytes.toString(), "id: 1\ndata: a\n\n");
  assert.equal(whole?.lastId, "1");
  assert.equal(splitter.rest.toString(), "id: 2\nda");
});

test("EventSplitter.isOverlong tells bytes that complete no event", () => {
  const splitter = new EventSplitter();
  const push = (text: string, times: number) => {
    for (let i = 0; i < times; i++) splitter.push(Buffer.from(text));
  };
  for (let id = 1; id <= 5; id++) {
    push(`id: ${id}\ndata: ${"x".repeat(1_000_000)}\n\n`, 1);
  }
  assert.equal(splitter.isOverlong, false);
  let id = 6;
  for (const text of ["\n".repeat(1_000), "data: x\n".repeat(1_000)]) {
    push(text, 3_000);
    assert.equal(splitter.isOverlong, true);
    push(`\n\nid: ${id++}\ndata: x\n\n`, 1);
    assert.equal(splitter.isOverlong, false);
  }
});
