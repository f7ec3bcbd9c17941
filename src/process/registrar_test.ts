import { install } from "@sinonjs/fake-timers";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryTable } from "../standin/mod.ts";
import { createLogger, LogLevel } from "../telemetry/mod.ts";
import { Members } from "./members.ts";
import { Registrar } from "./registrar.ts";
import { entryKey } from "./registry.ts";

const KEY = entryKey("e");
const VALUE = { name: "e", host: "h", domain: "d", url: "u" };
const log = await createLogger({ level: LogLevel.Silent, fields: {} });

const registrar = (table: MemoryTable) =>
  new Registrar({ table, key: KEY, value: VALUE, log });

async function registered(table: MemoryTable): Promise<unknown> {
  return (await table.read([KEY]))._unsafeUnwrap()[0]?.value;
}

test("Registrar.check() registers and writes no second time", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  const { writes } = table.calls;
  await own.check();
  assert.equal(table.calls.writes, writes);
  assert.equal(own.incarnation, 1);
});

test("Registrar.check() writes a row that was removed again", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  await table.commit({ checks: [], puts: [], deletes: [KEY] });
  await own.check();
  assert.equal(own.incarnation, 2);
  assert.equal(own.isSuperseded, false);
});

// Fails when decideRegistration() never yields.
test("Registrar.check() yields to a replacement and returns after it", async () => {
  const table = new MemoryTable();
  const [paused, fresh] = [registrar(table), registrar(table)];
  await paused.check();
  await fresh.check();
  await paused.check();
  assert.deepEqual([paused.isSuperseded, fresh.isSuperseded], [true, false]);
  await fresh.withdraw();
  await paused.check();
  assert.equal(paused.isSuperseded, false);
});

// Fails when withdraw() removes the row without a look at its instance.
test("Registrar.withdraw() leaves the row of a replacement", async () => {
  const table = new MemoryTable();
  const [paused, fresh] = [registrar(table), registrar(table)];
  await paused.check();
  await fresh.check();
  await paused.withdraw();
  assert.notEqual(await registered(table), null);
  const members = new Members(table);
  await members.refresh();
  assert.equal(members.entries.length, 1);
});

// Fails when Members keeps rows whose stamp says that they leave.
test("Registrar.leave() takes the process out of the members", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  await own.leave();
  const members = new Members(table);
  await members.refresh();
  assert.equal(members.entries.length, 0);
  assert.equal(members.rows.length, 1);
});

test("Registrar.run() settles racing processes on one", async () => {
  const clock = install();
  const abort = new AbortController();
  try {
    const table = new MemoryTable();
    const all = Array.from({ length: 5 }, () => registrar(table));
    all.forEach((one) => one.run(abort.signal));
    await clock.tickAsync(120_000);
    assert.equal(all.filter((one) => !one.isSuperseded).length, 1);
  } finally {
    abort.abort();
    clock.uninstall();
  }
});
