import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { errAsync, ResultAsync } from "neverthrow";
import {
  type CommitResult,
  PlatformError,
  PlatformErrorKind,
  type Row,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import { sleep } from "../kernel/mod.ts";
import { GroupCommit } from "./group_commit.ts";

type Fault = "lost" | "not-applied" | PlatformErrorKind | "";

/** Table whose commits fail with the given faults, in order. */
class ScriptedTable implements Table {
  readonly rows = new Map<string, Row>();
  readonly groups: number[] = [];
  readonly #faults: Fault[];

  constructor(...faults: Fault[]) {
    this.#faults = faults;
  }

  read(keys: readonly string[]) {
    return respond(keys.map((key) => this.#row(key)));
  }

  scan() {
    return respond({ rows: [] });
  }

  commit(tx: Transaction): ResultAsync<CommitResult, PlatformError> {
    this.groups.push(tx.puts.length);
    const fault = this.#faults.shift() ?? "";
    if (fault === "not-applied") return fail(PlatformErrorKind.Unanswered);
    if (fault === "lost") {
      this.#apply(tx);
      return fail(PlatformErrorKind.Unanswered);
    }
    return fault === "" ? respond(this.#apply(tx)) : fail(fault);
  }

  #apply(tx: Transaction): CommitResult {
    const conflicts = tx.checks
      .filter(({ key, version }) => this.#row(key).version !== version)
      .map(({ key }) => this.#row(key));
    if (conflicts.length > 0) return { committed: false, conflicts };
    tx.puts.forEach(({ key, value }) => {
      const version = this.#row(key).version + 1;
      this.rows.set(key, { key, value, version });
    });
    return { committed: true, rows: tx.puts.map(({ key }) => this.#row(key)) };
  }

  #row(key: string): Row {
    return this.rows.get(key) ?? { key, value: null, version: 0 };
  }
}

function respond<T>(value: T): ResultAsync<T, PlatformError> {
  return ResultAsync.fromSafePromise(Promise.resolve(value));
}

function fail(kind: PlatformErrorKind): ResultAsync<never, PlatformError> {
  return errAsync(new PlatformError(kind, kind));
}

const put = (key: string, value: unknown = key) => ({ key, version: 0, value });

/** Sends all writes at once; returns `written` or the error kind of each. */
const writeAll = async (table: Table, writes: ReturnType<typeof put>[]) => {
  const clock = install({ toFake: ["setTimeout", "performance"] });
  const commits = new GroupCommit(table);
  const pending = Promise.all(writes.map((write) => commits.write(write)));
  await clock.tickAsync(5_000);
  clock.uninstall();
  return (await pending).map((result) =>
    result.match(({ written }): unknown => written, ({ kind }) => kind)
  );
};

test("GroupCommit.write() groups the writes after the first", async () => {
  const table = new ScriptedTable();
  const written = await writeAll(
    table,
    ["a", "b", "c", "d"].map((k) => put(k)),
  );
  assert.deepEqual(written, [true, true, true, true]);
  assert.deepEqual(table.groups, [1, 3]);
});

test("GroupCommit.write() rejects only the write that conflicts", async () => {
  const table = new ScriptedTable();
  table.rows.set("b", { key: "b", value: "other", version: 3 });
  const written = await writeAll(table, ["a", "b", "c"].map((k) => put(k)));
  assert.deepEqual(written, [true, false, true]);
});

test("GroupCommit.write() never groups two writes of a row", async () => {
  const table = new ScriptedTable();
  const writes = [put("x"), put("a", 1), put("a", 2)];
  assert.deepEqual(await writeAll(table, writes), [true, true, false]);
  assert.equal(table.rows.get("a")?.value, 1);
});

test("GroupCommit.write() reads back after a lost response", async () => {
  const table = new ScriptedTable("lost");
  assert.deepEqual(await writeAll(table, [put("a")]), [true]);
  assert.deepEqual(table.groups, [1]);
});

test("GroupCommit.write() resends a write that had no effect", async () => {
  const table = new ScriptedTable("not-applied", "rate-limited");
  assert.deepEqual(await writeAll(table, [put("a")]), [true]);
  assert.deepEqual(table.groups, [1, 1, 1]);
});

test("GroupCommit.write() reports an outage at once", async () => {
  const table = new ScriptedTable("unavailable");
  assert.deepEqual(await writeAll(table, [put("a")]), ["unavailable"]);
});

/* Fails without the timer that expires each write. */
test("GroupCommit.write() expires a write behind a slow one", async () => {
  const clock = install({ toFake: ["setTimeout", "performance"] });
  const table = new ScriptedTable();
  const commits = new GroupCommit({
    read: (keys) => table.read(keys),
    scan: () => table.scan(),
    commit: (tx) =>
      ResultAsync.fromSafePromise(sleep(5_000)).andThen(() => table.commit(tx)),
  });
  const slow = commits.write(put("a"));
  const waiting = commits.write(put("b"));
  await clock.tickAsync(1_100);
  const expired = await waiting;
  await clock.tickAsync(10_000);
  clock.uninstall();
  assert.equal(expired.isErr() && expired.error.mayHaveApplied, false);
  assert.ok((await slow).isOk());
  assert.equal(table.rows.has("b"), false);
});

/* Fails if `mayHaveApplied` is not set after a lost response. */
test("GroupCommit.write() stays unanswered after a lost response", async () => {
  const table = new ScriptedTable("not-applied", "unavailable");
  assert.deepEqual(await writeAll(table, [put("a")]), ["unanswered"]);
});
