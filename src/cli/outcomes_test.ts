import assert from "node:assert/strict";
import { test } from "node:test";
import { type Claim, claimKey, createClaim } from "../ledger/mod.ts";
import type { StageCall } from "../model/mod.ts";
import { MemoryTable } from "../standin/mod.ts";
import {
  findRequestRecords,
  findUnknownOutcomes,
  resolveOutcome,
} from "./outcomes.ts";

const tableOf = async (states: Record<string, Claim["state"]>) => {
  const table = new MemoryTable();
  for (const [key, state] of Object.entries(states)) {
    await put(table, key, state);
  }
  return table;
};
const put = async (table: MemoryTable, key: string, state: Claim["state"]) => {
  const call = {
    organisation: "c",
    idempotencyKey: key,
    requestId: `r-${key}`,
    callId: `r-${key}/file/1`,
    remainingMs: 4_000,
  } as StageCall;
  const claim = createClaim(call, { token: key, now: Date.now() });
  const value = { ...claim, state };
  await table.commit({
    checks: [],
    puts: [{ key: claimKey("c", key), value }],
  });
};
const keys = (records: readonly { key: string }[]) =>
  records.map(({ key }) => key);

test("findUnknownOutcomes() returns only records with an unknown outcome", async () => {
  const table = await tableOf({ a: "unknown", b: "done", d: "claimed" });
  assert.deepEqual(keys(await findUnknownOutcomes(table)), ["c/a"]);
});

test("findRequestRecords() finds a request by its id and by its key", async () => {
  const table = await tableOf({ "a/file": "done", "ab/file": "done" });
  assert.deepEqual(keys(await findRequestRecords(table, "r-a/file")), [
    "c/a/file",
  ]);
  assert.deepEqual(keys(await findRequestRecords(table, "c/a")), ["c/a/file"]);
  assert.deepEqual(keys(await findRequestRecords(table, "x")), []);
});

test("resolveOutcome() resolves an outcome once and only if it is unknown", async () => {
  const table = await tableOf({ a: "unknown", b: "claimed" });
  const resolve = (key: string) => resolveOutcome(table, { key, as: "run" });
  assert.equal((await resolve("c/a")).state, "done");
  await assert.rejects(resolve("c/a"), /not unknown: done/);
  await assert.rejects(resolve("c/b"), /not unknown: claimed/);
  await assert.rejects(resolve("c/x"), /no record/);
});

// Guards against a commit without a check of the row's version.
test("resolveOutcome() succeeds for only one of two concurrent operators", async () => {
  const table = await tableOf({ a: "unknown" });
  const orders = ["run", "not-run"] as const;
  const results = await Promise.allSettled(
    orders.map((as) => resolveOutcome(table, { key: "c/a", as })),
  );
  const statuses = results.map(({ status }) => status).sort();
  assert.deepEqual(statuses, ["fulfilled", "rejected"]);
});
