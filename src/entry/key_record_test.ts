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
import { ClaimStore } from "../process/mod.ts";
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

/** Table that holds only the row of the call's key. */
class SingleRowTable implements Table {
  row: Row = { key: KEY, value: null, version: 0 };
  isOut = false;

  read() {
    return this.#respond<readonly Row[]>(() => [this.row]);
  }

  scan() {
    return this.#respond(() => ({ rows: [this.row] }));
  }

  commit({ checks, puts }: Transaction) {
    return this.#respond<CommitResult>(() => {
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

  #respond<T>(value: () => T): ResultAsync<T, PlatformError> {
    if (this.isOut) return errAsync(new PlatformError("unavailable", "out"));
    return ResultAsync.fromSafePromise(Promise.resolve().then(value));
  }
}

const claim = (state: ClaimState, overrides: Partial<Claim> = {}): Claim => ({
  ...createClaim({ ...CALL, requestId: "q" }, { token: "q", now: Date.now() }),
  state,
  result: state === ClaimState.Done ? RESULT : undefined,
  ...overrides,
});
const stateOf = ({ row }: SingleRowTable) => (row.value as Claim).state;

/** Runs a task while the clock advances by ten seconds. */
const whileClockAdvances = async <T>(task: () => Promise<T>): Promise<T> => {
  const clock = install({ toFake: ["setTimeout", "performance", "Date"] });
  const work = task();
  await clock.tickAsync(10_000);
  clock.uninstall();
  return await work;
};
const settle = (table: SingleRowTable, call = CALL) =>
  whileClockAdvances(() =>
    new KeyRecord(new ClaimStore(table)).settle(call, {
      deadlineAt: monotonicMs() + 4_000,
      signal: new AbortController().signal,
    })
  );
const confirm = (table: SingleRowTable, call = CALL) =>
  whileClockAdvances(() =>
    new KeyRecord(new ClaimStore(table)).confirmNotRun(call)
  );

/*
 * Guards against reporting "not run" without writing the not-run row: the call
 * could still claim the key and run. The soak test finds this failure too.
 */
test("KeyRecord.settle() closes a key that nobody claimed", async () => {
  const table = new SingleRowTable();
  assert.deepEqual(await settle(table), { kind: "not-run", version: 1 });
  assert.equal(stateOf(table), "not-run");
});

test("KeyRecord.settle() returns the result of a call that ran", async () => {
  const table = new SingleRowTable().set(claim(ClaimState.Done));
  const result = { ...RESULT, callId: CALL.callId, replayed: true };
  assert.deepEqual(await settle(table), { kind: "done", result });
});

test("KeyRecord.settle() waits for a call that is running", async () => {
  const table = new SingleRowTable().set(claim(ClaimState.Claimed));
  const settled = await whileClockAdvances(() => {
    setTimeout(() => table.set(claim(ClaimState.Done)), 300);
    return new KeyRecord(new ClaimStore(table)).settle(CALL, {
      deadlineAt: monotonicMs() + 4_000,
      signal: new AbortController().signal,
    });
  });
  assert.equal(settled.kind, "done");
});

test("KeyRecord.settle() distinguishes running from unknown calls", async () => {
  const reason = async (state: ClaimState) => {
    const settled = await settle(new SingleRowTable().set(claim(state)));
    return settled.kind === "refused" && settled.refusal.reason;
  };
  assert.equal(await reason(ClaimState.Claimed), "key-running");
  assert.equal(await reason(ClaimState.Unknown), "key-unknown");
});

test("KeyRecord.settle() reports an unknown outcome during a platform outage", async () => {
  const table = new SingleRowTable();
  table.isOut = true;
  const settled = await settle(table);
  assert.equal(
    settled.kind === "refused" && settled.refusal.proof,
    "outcome-unknown",
  );
});

test("KeyRecord.settle() allows retries only after its own request closed the key", async () => {
  const own = { requestId: "r" };
  const kinds = [
    await settle(new SingleRowTable().set(claim(ClaimState.NotRun, own))),
    await settle(new SingleRowTable().set(claim(ClaimState.NotRun))),
  ].map(({ kind }) => kind);
  assert.deepEqual(kinds, ["not-run", "refused"]);
});

/*
 * Guards against closing the key only at the version of the call itself: a key
 * that an earlier request left open has a newer version, at which calls can
 * still claim it.
 */
test("KeyRecord.confirmNotRun() closes a key that is open at a newer version", async () => {
  const table = new SingleRowTable().set(claim(ClaimState.NotRun));
  assert.equal(await confirm(table), undefined);
  assert.equal(table.row.version, 2);
});

test("KeyRecord.confirmNotRun() reports an unknown outcome for a key that ran or may run", async () => {
  const states = [ClaimState.Claimed, ClaimState.Done, ClaimState.Unknown];
  for (const state of states) {
    const refusal = await confirm(new SingleRowTable().set(claim(state)));
    assert.equal(refusal?.proof, "outcome-unknown", state);
  }
});
