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

test("Registrar.check() registers once and does not write again", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  const { writes } = table.calls;
  await own.check();
  assert.equal(table.calls.writes, writes);
  assert.equal(own.incarnation, 1);
});

test("Registrar.check() rewrites a row that was removed", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  await table.commit({ checks: [], puts: [], deletes: [KEY] });
  await own.check();
  assert.equal(own.incarnation, 2);
  assert.equal(own.isSuperseded, false);
});

// Fails when decideRegistration() never yields.
test("Registrar.check() yields to a replacement and registers again once it is withdrawn", async () => {
  const table = new MemoryTable();
  const [paused, replacement] = [registrar(table), registrar(table)];
  await paused.check();
  await replacement.check();
  await paused.check();
  assert.deepEqual([paused.isSuperseded, replacement.isSuperseded], [
    true,
    false,
  ]);
  await replacement.withdraw();
  await paused.check();
  assert.equal(paused.isSuperseded, false);
});

// Fails when withdraw() removes the row without comparing its instance.
test("Registrar.withdraw() keeps the row of a replacement", async () => {
  const table = new MemoryTable();
  const [paused, replacement] = [registrar(table), registrar(table)];
  await paused.check();
  await replacement.check();
  await paused.withdraw();
  assert.notEqual(await registered(table), null);
  const members = new Members(table);
  await members.refresh();
  assert.equal(members.entries.length, 1);
});

// Fails when Members includes rows whose stamp is marked as leaving.
test("Registrar.leave() removes the process from the members", async () => {
  const table = new MemoryTable();
  const own = registrar(table);
  await own.check();
  await own.leave();
  const members = new Members(table);
  await members.refresh();
  assert.equal(members.entries.length, 0);
  assert.equal(members.rows.length, 1);
});

test("Registrar.run() lets exactly one of several racing processes stay registered", async () => {
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
