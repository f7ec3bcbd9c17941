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
import { applyFile, readListsFile, submitOrder } from "./lists.ts";

const KEY = "0".repeat(64);
const OTHER_KEY = "1".repeat(64);
const plans = [{
  name: "p",
  weight: 1,
  maxConcurrent: 1,
  pipelines: [] as string[],
}];
const organisations = [{ id: "a", plan: "p", keySha256: KEY }];

const currentLists = async (table: Table): Promise<Lists> =>
  (await readLists(table))._unsafeUnwrap();
const domainOrder = (name: string, out: boolean) =>
  ({ what: "domain", name, out }) as const;
const ignoreConflict = () => {};

/** Returns a table whose first commit takes effect but loses its response. */
function withLostResponse(table: MemoryTable): Table {
  let hasLost = false;
  return {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    commit: (tx) => {
      const done = table.commit(tx);
      if (hasLost) return done;
      hasLost = true;
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

test("readListsFile() accepts the output of lists show and rejects invalid JSON", async () => {
  const dir = mkdtempSync(join(tmpdir(), "lists-"));
  try {
    const file = join(dir, "lists.json");
    const table = new MemoryTable();
    const { availability } = EMPTY_LISTS;
    writeFileSync(file, JSON.stringify({ organisations, plans, availability }));
    const read = readListsFile(file, await currentLists(table));
    assert.deepEqual(read.organisations, { organisations });
    writeFileSync(file, "{");
    assert.throws(() => readListsFile(file, EMPTY_LISTS), { code: 2 });
  } finally {
    rmSync(dir, { recursive: true });
  }
});

test("applyFile() reports the differences when another change is accepted first", async () => {
  // Guards against a commit without a check of the head row.
  const table = new MemoryTable();
  const before = await currentLists(table);
  await applyFile(table, {
    file: { organisations: { organisations }, use: { plans, pipelines: [] } },
    standing: before,
  });
  const laterOrganisations = [{ id: "b", plan: "p", keySha256: OTHER_KEY }];
  await assert.rejects(
    applyFile(table, {
      file: { organisations: { organisations: laterOrganisations } },
      standing: before,
    }),
    {
      code: 1,
      message: /nothing of this one was.*\+ organisation a plan=p/s,
    },
  );
  const after = await currentLists(table);
  assert.equal(after.version, 1);
  assert.deepEqual(after.organisations, { organisations });
});

test("applyFile() refuses a file that starts from another version", async () => {
  const table = new MemoryTable();
  await submitOrder(table, domainOrder("north", true), ignoreConflict);
  await assert.rejects(
    applyFile(table, {
      file: { version: 0, organisations: { organisations } },
      standing: await currentLists(table),
    }),
    { code: 1, message: /starts from version 0.*\+ organisation a/s },
  );
});

test("applyFile() refuses an older file whose availability has changed since", async () => {
  // Guards against a finding for the availability of a file that starts from an
  // older version: the file has to be refused for its version.
  const table = new MemoryTable();
  const { version, availability } = await currentLists(table);
  await submitOrder(table, domainOrder("north", true), ignoreConflict);
  const now = await currentLists(table);
  const checked = checkListsFile(
    { version, availability, organisations, plans },
    now,
  );
  const file = checked.unwrap();
  await assert.rejects(applyFile(table, { file, standing: now }), { code: 1 });
});

test("applyFile() reports an accepted change as accepted after a lost response", async () => {
  // Guards against a false report of a conflict: after a lost response, the
  // retry of the commit conflicts with the change itself.
  const table = new MemoryTable();
  const accepted = await applyFile(withLostResponse(table), {
    file: { organisations: { organisations } },
    standing: await currentLists(table),
  });
  assert.equal(accepted.lists.version, 1);
  assert.deepEqual((await currentLists(table)).organisations, {
    organisations,
  });
});

test("submitOrder() submits the order again on top of another change", async () => {
  const west = domainOrder("west", true);
  const table = new MemoryTable();
  let hasRaced = false;
  const racingTable: Table = {
    read: (keys) => table.read(keys),
    scan: (prefix) => table.scan(prefix),
    commit: (tx) => {
      const other = hasRaced
        ? Promise.resolve({})
        : submitOrder(table, west, ignoreConflict).then(() => ({}));
      hasRaced = true;
      return ResultAsync.fromSafePromise(other).andThen(() => table.commit(tx));
    },
  };
  const differences: string[] = [];
  await submitOrder(
    racingTable,
    domainOrder("north", true),
    (line) => differences.push(line),
  );
  assert.deepEqual(differences, ["~ domain west out"]);
  const { availability } = await currentLists(table);
  assert.deepEqual(availability.domainsOut, ["west", "north"]);
});

test("submitOrder() changes nothing when the order is already in effect", async () => {
  const table = new MemoryTable();
  await submitOrder(table, domainOrder("north", true), ignoreConflict);
  await submitOrder(table, domainOrder("north", true), ignoreConflict);
  assert.equal((await currentLists(table)).version, 1);
});
