import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { errAsync, ResultAsync } from "neverthrow";
import { checkListsFile } from "../config/mod.ts";
import { EMPTY_LISTS, type Lists } from "../model/mod.ts";
import { PlatformError, PlatformErrorKind, type Table } from "../store/mod.ts";
import { readLists } from "../process/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import { applyFile, giveOrder, readListsFile } from "./lists.ts";

const KEY = "0".repeat(64);
const OTHER_KEY = "1".repeat(64);
const plans = [{
  name: "p",
  weight: 1,
  maxConcurrent: 1,
  pipelines: [] as string[],
}];
const organisations = [{ id: "a", plan: "p", keySha256: KEY }];

const standing = async (table: Table): Promise<Lists> =>
  (await readLists(table))._unsafeUnwrap();
const order = (name: string, out: boolean) =>
  ({ what: "domain", name, out }) as const;
const quiet = () => {};

/** Table whose next commit is answered by `fault` after it took effect. */
function losing(table: MemoryTable): Table {
  let lost = false;
  return {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    commit: (tx) => {
      const done = table.commit(tx);
      if (lost) return done;
      lost = true;
      const { Unanswered } = PlatformErrorKind;
      return done.andThen(() =>
        errAsync(new PlatformError(Unanswered, "lost"))
      );
    },
  };
}

test("checkListsFile() reports the findings of both lists at once", () => {
  const checked = checkListsFile({
    organisations: [...organisations, { id: "a", plan: "q", keySha256: KEY }, {
      id: "B",
      plan: "p",
    }],
    plans: [{ ...plans[0], weight: 0, pipelines: ["none"] }],
    pipelines: [],
    extra: 1,
  }, EMPTY_LISTS);
  const paths = checked.isErr() ? checked.error.map(({ path }) => path) : [];
  assert.deepEqual(paths.toSorted(), [
    "$.extra",
    "$.organisations[1]",
    "$.organisations[1]",
    "$.organisations[1].plan",
    "$.organisations[2].id",
    "$.organisations[2].keySha256",
    "$.plans[0].pipelines[0]",
    "$.plans[0].weight",
  ]);
});

test("readListsFile() accepts what lists show prints and nothing with faults", async () => {
  const dir = mkdtempSync(join(tmpdir(), "lists-"));
  try {
    const file = join(dir, "lists.json");
    const table = new MemoryTable();
    const { availability } = EMPTY_LISTS;
    writeFileSync(file, JSON.stringify({ organisations, plans, availability }));
    const read = readListsFile(file, await standing(table));
    assert.deepEqual(read.organisations, { organisations });
    writeFileSync(file, "{");
    assert.throws(() => readListsFile(file, EMPTY_LISTS), { code: 2 });
  } finally {
    rmSync(dir, { recursive: true });
  }
});

test("applyFile() tells the loser of a race what changed", async () => {
  // Fails when the commit has no check of the head row.
  const table = new MemoryTable();
  const before = await standing(table);
  await applyFile(table, {
    file: { organisations: { organisations }, use: { plans, pipelines: [] } },
    standing: before,
  });
  const late = [{ id: "b", plan: "p", keySha256: OTHER_KEY }];
  await assert.rejects(
    applyFile(table, {
      file: { organisations: { organisations: late } },
      standing: before,
    }),
    { code: 1, message: /nothing of this one was.*\+ organisation a plan=p/s },
  );
  const after = await standing(table);
  assert.equal(after.version, 1);
  assert.deepEqual(after.organisations, { organisations });
});

test("applyFile() refuses a file that starts from another version", async () => {
  const table = new MemoryTable();
  await giveOrder(table, order("north", true), quiet);
  await assert.rejects(
    applyFile(table, {
      file: { version: 0, organisations: { organisations } },
      standing: await standing(table),
    }),
    { code: 1, message: /starts from version 0.*\+ organisation a/s },
  );
});

test("applyFile() refuses an older file whose availability has changed since", async () => {
  // Fails when the availability of a file from an older version is a finding.
  const table = new MemoryTable();
  const { version, availability } = await standing(table);
  await giveOrder(table, order("north", true), quiet);
  const now = await standing(table);
  const checked = checkListsFile(
    { version, availability, organisations, plans },
    now,
  );
  const file = checked.unwrap();
  await assert.rejects(applyFile(table, { file, standing: now }), { code: 1 });
});

test("applyFile() reports an accept truthfully when its answer was lost", async () => {
  // Fails when a conflict after a lost answer is reported as a lost race.
  const table = new MemoryTable();
  const accepted = await applyFile(losing(table), {
    file: { organisations: { organisations } },
    standing: await standing(table),
  });
  assert.equal(accepted.lists.version, 1);
  assert.deepEqual((await standing(table)).organisations, { organisations });
});

test("giveOrder() is given again on top of another change", async () => {
  const west = order("west", true);
  const table = new MemoryTable();
  let raced = false;
  const racing: Table = {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    commit: (tx) => {
      const other = raced
        ? Promise.resolve({})
        : giveOrder(table, west, quiet).then(() => ({}));
      raced = true;
      return ResultAsync.fromSafePromise(other).andThen(() => table.commit(tx));
    },
  };
  const told: string[] = [];
  await giveOrder(racing, order("north", true), (line) => told.push(line));
  assert.deepEqual(told, ["~ domain west out"]);
  const { availability } = await standing(table);
  assert.deepEqual(availability.domainsOut, ["west", "north"]);
});

test("giveOrder() changes nothing that is already as ordered", async () => {
  const table = new MemoryTable();
  await giveOrder(table, order("north", true), quiet);
  await giveOrder(table, order("north", true), quiet);
  assert.equal((await standing(table)).version, 1);
});
