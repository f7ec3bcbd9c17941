import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { errAsync, ResultAsync } from "neverthrow";
import { monotonicMs } from "../kernel/mod.ts";
import {
  type Claim,
  claimKey,
  ClaimState,
  createClaim,
} from "../ledger/mod.ts";
import { digest, type StageCall, type StageResult } from "../model/mod.ts";
import {
  type CommitResult,
  PlatformError,
  type Row,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import { Ledger } from "../process/mod.ts";
import { KeyRecord } from "./key_record.ts";

const CALL = {
  callId: "r/file/1",
  requestId: "r",
  organisation: "c",
  stage: "file",
  target: "t",
  idempotencyKey: "k/file",
  fingerprint: "f",
  remainingMs: 4_000,
} as StageCall;
const RESULT: StageResult = {
  callId: "q/file/1",
  stage: "file",
  fingerprint: "f",
  target: "t",
  output: { filed: true },
  digest: digest({ filed: true }),
  tokens: 0,
  serviceMs: 1,
  queuedMs: 0,
  replayed: false,
};
const KEY = claimKey("c", "k/file");

/** Table with the one row of the call's key. */
class OneRow implements Table {
  row: Row = { key: KEY, value: null, version: 0 };
  isOut = false;

  read() {
    return this.#answer<readonly Row[]>(() => [this.row]);
  }

  scan() {
    return this.#answer(() => ({ rows: [this.row] }));
  }

  commit({ checks, puts }: Transaction) {
    return this.#answer<CommitResult>(() => {
      if (checks[0]?.version !== this.row.version) {
        return { committed: false, conflicts: [this.row] };
      }
      this.set(puts[0]?.value as Claim);
      return { committed: true, rows: [this.row] };
    });
  }

  set(value: Claim): this {
    this.row = { key: KEY, value, version: this.row.version + 1 };
    return this;
  }

  #answer<T>(value: () => T): ResultAsync<T, PlatformError> {
    if (this.isOut) return errAsync(new PlatformError("unavailable", "out"));
    return ResultAsync.fromSafePromise(Promise.resolve().then(value));
  }
}

const claim = (state: ClaimState, over: Partial<Claim> = {}): Claim => ({
  ...createClaim({ ...CALL, requestId: "q" }, { token: "q", now: Date.now() }),
  state,
  result: state === ClaimState.Done ? RESULT : undefined,
  ...over,
});
const stateOf = ({ row }: OneRow) => (row.value as Claim).state;

/** Runs a task while the clock advances by ten seconds. */
const inTime = async <T>(task: () => Promise<T>): Promise<T> => {
  const clock = install({ toFake: ["setTimeout", "performance", "Date"] });
  const work = task();
  await clock.tickAsync(10_000);
  clock.uninstall();
  return await work;
};
const settle = (table: OneRow, call = CALL) =>
  inTime(() =>
    new KeyRecord(new Ledger(table)).settle(call, {
      deadlineAt: monotonicMs() + 4_000,
      signal: new AbortController().signal,
    })
  );
const confirm = (table: OneRow, call = CALL) =>
  inTime(() => new KeyRecord(new Ledger(table)).confirmNotRun(call));

/* Seen to fail with "not run" told without the write, here and in the soak. */
test("KeyRecord.settle() closes a key that nobody claimed", async () => {
  const table = new OneRow();
  assert.deepEqual(await settle(table), { kind: "not-run", version: 1 });
  assert.equal(stateOf(table), "not-run");
});

test("KeyRecord.settle() gives the result of a call that ran", async () => {
  const table = new OneRow().set(claim(ClaimState.Done));
  const result = { ...RESULT, callId: CALL.callId, replayed: true };
  assert.deepEqual(await settle(table), { kind: "done", result });
});

test("KeyRecord.settle() waits for a call that is running", async () => {
  const table = new OneRow().set(claim(ClaimState.Claimed));
  const settled = await inTime(() => {
    setTimeout(() => table.set(claim(ClaimState.Done)), 300);
    return new KeyRecord(new Ledger(table)).settle(CALL, {
      deadlineAt: monotonicMs() + 4_000,
      signal: new AbortController().signal,
    });
  });
  assert.equal(settled.kind, "done");
});

test("KeyRecord.settle() tells running and unknown apart", async () => {
  const reason = async (state: ClaimState) => {
    const settled = await settle(new OneRow().set(claim(state)));
    return settled.kind === "refused" && settled.refusal.reason;
  };
  assert.equal(await reason(ClaimState.Claimed), "key-running");
  assert.equal(await reason(ClaimState.Unknown), "key-unknown");
});

test("KeyRecord.settle() knows nothing while the platform is out", async () => {
  const table = new OneRow();
  table.isOut = true;
  const settled = await settle(table);
  assert.equal(
    settled.kind === "refused" && settled.refusal.proof,
    "outcome-unknown",
  );
});

test("KeyRecord.settle() retries only what its own request withdrew", async () => {
  const own = { requestId: "r" };
  const kinds = [
    await settle(new OneRow().set(claim(ClaimState.NotRun, own))),
    await settle(new OneRow().set(claim(ClaimState.NotRun))),
  ].map(({ kind }) => kind);
  assert.deepEqual(kinds, ["not-run", "refused"]);
});

/* Seen to fail with the key closed only at the version of the own call. */
test("KeyRecord.confirmNotRun() closes a key that is open at a newer version", async () => {
  const table = new OneRow().set(claim(ClaimState.NotRun));
  assert.equal(await confirm(table), undefined);
  assert.equal(table.row.version, 2);
});

test("KeyRecord.confirmNotRun() says unknown of a key that ran or may", async () => {
  const states = [ClaimState.Claimed, ClaimState.Done, ClaimState.Unknown];
  for (const state of states) {
    const refusal = await confirm(new OneRow().set(claim(state)));
    assert.equal(refusal?.proof, "outcome-unknown", state);
  }
});
