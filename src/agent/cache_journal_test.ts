import assert from "node:assert/strict";
import { test } from "node:test";
import { promptOf, type PromptSource } from "../model/mod.ts";
import { prefixKey } from "../routing/mod.ts";
import { type BlockEvent, CacheJournal } from "./cache_journal.ts";

const promptSourceOf = (name: string): PromptSource => ({
  pipeline: "p",
  stage: "s",
  input: { request: { document: name.repeat(600) } },
});
const keyOf = (name: string) => prefixKey(promptOf(promptSourceOf(name))) ?? "";

const stored = (seq: number, block: string): BlockEvent => ({
  seq,
  block,
  kind: "stored",
});

// Fails without the filter by `#prefixes`.
test("CacheJournal records only prefixes of calls that passed the agent", () => {
  const journal = new CacheJournal();
  journal.recordCall(promptSourceOf("a"));
  journal.applyEvents([stored(0, "other"), stored(1, keyOf("a"))]);
  journal.applyEvents([{ seq: 2, kind: "removed", block: keyOf("a") }]);
  assert.deepEqual(journal.changes, [
    { seq: 0, key: keyOf("a"), held: true },
    { seq: 1, key: keyOf("a"), held: false },
  ]);
});

// Fails without the filter by `seq`.
test("CacheJournal skips events that it has already read", () => {
  const journal = new CacheJournal();
  journal.recordCall(promptSourceOf("a"));
  const events = [stored(4, keyOf("a"))];
  journal.applyEvents(events);
  journal.applyEvents(events);
  assert.equal(journal.changes.length, 1);
  assert.equal(journal.read, 4);
});

test("CacheJournal keeps a bounded number of changes", () => {
  const journal = new CacheJournal();
  journal.recordCall(promptSourceOf("a"));
  for (let seq = 0; seq < 100; seq += 1) {
    journal.applyEvents([stored(seq, keyOf("a"))]);
  }
  assert.equal(journal.changes.length, 16);
  assert.equal(journal.changes.at(-1)?.seq, 99);
});
