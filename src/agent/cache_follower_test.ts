import assert from "node:assert/strict";
import { test } from "node:test";
import { promptOf, type PromptParts } from "../model/mod.ts";
import { prefixKey } from "../routing/mod.ts";
import { type BlockEvent, CacheJournal } from "./cache_follower.ts";

const parts = (name: string): PromptParts => ({
  pipeline: "p",
  stage: "s",
  input: { request: { document: name.repeat(600) } },
});
const keyOf = (name: string) => prefixKey(promptOf(parts(name))) ?? "";

const stored = (seq: number, block: string): BlockEvent => ({
  seq,
  block,
  kind: "stored",
});

// Seen to fail without the filter by `#prefixes`.
test("CacheJournal notes only prefixes of calls that passed", () => {
  const journal = new CacheJournal();
  journal.noteCall(parts("a"));
  journal.readEvents([stored(0, "other"), stored(1, keyOf("a"))]);
  journal.readEvents([{ seq: 2, kind: "removed", block: keyOf("a") }]);
  assert.deepEqual(journal.changes, [
    { seq: 0, key: keyOf("a"), held: true },
    { seq: 1, key: keyOf("a"), held: false },
  ]);
});

// Seen to fail without the filter by `seq`.
test("CacheJournal passes over events that it has read", () => {
  const journal = new CacheJournal();
  journal.noteCall(parts("a"));
  const events = [stored(4, keyOf("a"))];
  journal.readEvents(events);
  journal.readEvents(events);
  assert.equal(journal.changes.length, 1);
  assert.equal(journal.read, 4);
});

test("CacheJournal keeps a bounded number of changes", () => {
  const journal = new CacheJournal();
  journal.noteCall(parts("a"));
  for (let seq = 0; seq < 100; seq += 1) {
    journal.readEvents([stored(seq, keyOf("a"))]);
  }
  assert.equal(journal.changes.length, 16);
  assert.equal(journal.changes.at(-1)?.seq, 99);
});
