import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryTable } from "../standin/mod.ts";
import { Members } from "./members.ts";
import {
  readAllMembers,
  readMember,
  registerTarget,
  targetKey,
  writeMember,
} from "./registry.ts";

const SEED = 6;

const target = (i: number, agentUrl: string) => ({
  id: `t-${i}`,
  pool: "pool",
  kind: "service" as const,
  host: `h-${i}`,
  domain: "d",
  agentUrl,
});

async function remove(table: MemoryTable, i: number): Promise<void> {
  const member = await readMember(table, targetKey(`t-${i}`));
  await writeMember(table, member._unsafeUnwrap(), { value: null });
}

const step = fc.oneof(
  fc.record({ kind: fc.constant("put"), i: fc.nat({ max: 40 }) }),
  fc.record({ kind: fc.constant("remove"), i: fc.nat({ max: 40 }) }),
  fc.record({ kind: fc.constant("refresh"), i: fc.constant(0) }),
);

// Fails when planRefresh() trusts heads that no longer list every change, and
// when writeMember() does not record the key in its head.
test("Members.refresh() yields the same rows as a full read", async () => {
  const steps = fc.array(step, { maxLength: 120 });
  await fc.assert(
    fc.asyncProperty(steps, async (history) => {
      const table = new MemoryTable();
      const members = new Members(table);
      for (const [index, { kind, i }] of history.entries()) {
        if (kind === "put") await registerTarget(table, target(i, `u${index}`));
        if (kind === "remove") await remove(table, i);
        if (kind === "refresh") await members.refresh();
      }
      await members.refresh();
      const all = (await readAllMembers(table))._unsafeUnwrap();
      const sorted = members.rows.toSorted((a, b) => a.key < b.key ? -1 : 1);
      assert.deepEqual(sorted, all);
    }),
    { seed: SEED, numRuns: 60 },
  );
});

test("Members.refresh() reads only the heads when nothing has changed", async () => {
  const table = new MemoryTable();
  await registerTarget(table, target(1, "u"));
  const members = new Members(table);
  await members.refresh();
  const before = table.calls.reads;
  assert.equal((await members.refresh())._unsafeUnwrap(), false);
  assert.equal(table.calls.reads - before, 1);
});

test("Members.refresh() reads a single change by its key", async () => {
  const table = new MemoryTable();
  const members = new Members(table);
  await registerTarget(table, target(1, "u"));
  await members.refresh();
  await registerTarget(table, target(2, "v"));
  const before = table.calls.reads;
  await members.refresh();
  assert.equal(table.calls.reads - before, 2);
  assert.deepEqual(members.targets.map(({ id }) => id), ["t-1", "t-2"]);
});

// Fails when planRefresh() trusts heads that no longer list every change.
test("Members.refresh() reads everything after more changes than the heads list", async () => {
  const table = new MemoryTable();
  const members = new Members(table);
  await members.refresh();
  const count = 400;
  for (let i = 0; i < count; i += 1) {
    await registerTarget(table, target(i, "u"));
  }
  await members.refresh();
  assert.equal(members.targets.length, count);
});

// Fails when olderIfEqual() always returns the newer list: entries then
// recompute the subsets of all pools whenever any target changes.
test("Members.refresh() keeps the same list of entries when a target changes", async () => {
  const table = new MemoryTable();
  const members = new Members(table);
  await table.commit({
    checks: [],
    puts: [{
      key: "entry/e",
      value: { name: "e", host: "h", domain: "d", url: "u" },
    }],
  });
  await members.refresh();
  const { entries, targets } = members;
  await registerTarget(table, target(1, "u"));
  await members.refresh();
  assert.equal(entries.length, 1);
  assert.equal(members.entries, entries);
  assert.notEqual(members.targets, targets);
});
