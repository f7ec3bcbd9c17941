import assert from "node:assert/strict";
import { test } from "node:test";
import { install } from "@sinonjs/fake-timers";
import { err, errAsync, ok, ResultAsync } from "neverthrow";
import { type Claim, claimKey } from "../ledger/mod.ts";
import {
  notRun,
  outcomeUnknown,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import {
  type CommitResult,
  PlatformError,
  type Row,
  type Table,
  type Transaction,
} from "../store/mod.ts";
import { ClaimService } from "./claim_service.ts";

const CALL = {
  callId: "r/file/1",
  requestId: "r",
  organisation: "c",
  target: "t",
  idempotencyKey: "k",
  fingerprint: "f",
  remainingMs: 4_000,
} as StageCall;
const KEY = claimKey("c", "k");
const RESULT = { output: 1 } as StageResult;

/**
 * Table with one row. While it loses responses, commits are kept in `late`, so
 * that a test can apply them after their response was lost.
 */
class OneRowTable implements Table {
  row: Row = { key: KEY, value: null, version: 0 };
  outages = 0;
  late: Transaction[] = [];
  losesResponses = false;

  read(): ResultAsync<readonly Row[], PlatformError> {
    return this.losesResponses ? lostResponse() : respond([this.row]);
  }

  scan() {
    return respond({ rows: [this.row] });
  }

  commit(tx: Transaction): ResultAsync<CommitResult, PlatformError> {
    if (this.losesResponses) {
      this.late.push(tx);
      return lostResponse();
    }
    if (this.outages > 0) {
      this.outages -= 1;
      return errAsync(new PlatformError("unavailable", "out"));
    }
    return respond(this.apply(tx));
  }

  apply({ checks, puts }: Transaction): CommitResult {
    if (checks[0]?.version !== this.row.version) {
      return { committed: false, conflicts: [this.row] };
    }
    const value = puts[0]?.value;
    this.row = { key: KEY, value, version: this.row.version + 1 };
    return { committed: true, rows: [this.row] };
  }

  get state(): string {
    return (this.row.value as Claim | null)?.state ?? "absent";
  }
}

function respond<T>(value: T): ResultAsync<T, PlatformError> {
  return ResultAsync.fromSafePromise(Promise.resolve(value));
}

function lostResponse(): ResultAsync<never, PlatformError> {
  return errAsync(new PlatformError("unanswered", "lost"));
}

const withFakeClock = async (
  task: (tick: () => Promise<unknown>) => Promise<void>,
) => {
  const clock = install({ toFake: ["setTimeout", "performance", "Date"] });
  try {
    await task(() => clock.tickAsync(30_000));
  } finally {
    clock.uninstall();
  }
};
const kindOf = async (service: ClaimService, call = CALL) =>
  (await service.claim(call, `token-${Math.random()}`)).match(
    (outcome) => outcome.kind,
    ({ reason, proof }) => `${reason} ${proof}`,
  );
const holdClaim = async (service: ClaimService) => {
  const claimed = (await service.claim(CALL, "own"))._unsafeUnwrap();
  assert.equal(claimed.kind, "held");
  return claimed.kind === "held" ? claimed.held : assert.fail();
};

test("ClaimService.claim() grants a key to one agent only", async () => {
  const table = new OneRowTable();
  const [paused, replacement] = [1, 2].map(() => new ClaimService(table));
  assert.equal(await kindOf(replacement as ClaimService), "held");
  assert.equal(await kindOf(paused as ClaimService), "running");
});

/*
 * Guards against a claim written at the row's current version in place of the
 * version that the call was started with: a call whose key was closed would
 * run.
 */
test("ClaimService.claim() refuses a call whose key was closed", async () => {
  const table = new OneRowTable();
  const service = new ClaimService(table);
  const holder = await holdClaim(service);
  const refusal = notRun(RefusalReason.TargetUnreachable, "Refused");
  await service.record(holder, err(refusal));
  assert.equal(table.state, "not-run");
  assert.equal(await kindOf(service), "refuse");
  const renewed = { ...CALL, claimVersion: 2 };
  assert.equal(await kindOf(service, renewed), "held");
});

test("ClaimService.record() retries until the platform responds", () =>
  withFakeClock(async (tick) => {
    const table = new OneRowTable();
    const service = new ClaimService(table);
    const holder = await holdClaim(service);
    table.outages = 4;
    const recorded = service.record(holder, ok(RESULT));
    await tick();
    await recorded;
    assert.equal(table.state, "done");
  }));

test("ClaimService.record() stores an unknown outcome as unknown", async () => {
  const table = new OneRowTable();
  const service = new ClaimService(table);
  const lost = outcomeUnknown(RefusalReason.Silent, "Lost");
  await service.record(await holdClaim(service), err(lost));
  assert.equal(table.state, "unknown");
  assert.equal(await kindOf(service), "refuse");
});

/*
 * Guards against an insert that takes effect after its response was lost:
 * unless it is withdrawn, it holds the key although no call runs.
 */
test("ClaimService.claim() closes a key whose insert took effect late", () =>
  withFakeClock(async (tick) => {
    const table = new OneRowTable();
    const service = new ClaimService(table);
    table.losesResponses = true;
    const claimed = kindOf(service);
    await tick();
    assert.equal(await claimed, "platform-unavailable not-run");
    table.apply(table.late[0] as Transaction);
    assert.equal(table.state, "claimed");
    table.losesResponses = false;
    await tick();
    assert.equal(table.state, "not-run");
  }));
