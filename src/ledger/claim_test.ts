import assert from "node:assert/strict";
import { test } from "node:test";
import type { StageCall, StageResult } from "../model/mod.ts";
import {
  type Claim,
  ClaimState,
  createClaim,
  decideClaim,
  OUTCOME_GRACE_MS,
  resolveClaim,
} from "./claim.ts";
import {
  DONE_RETENTION_MS,
  NOT_RUN_RETENTION_MS,
  OVERDUE_GRACE_MS,
  sweepAction,
} from "./retention.ts";

const NOW = 1_000_000_000;
const END = NOW + 4_000 + OUTCOME_GRACE_MS;
const RESULT = { callId: "r/file/1" } as StageResult;

const claim = (token: string, overrides: Partial<Claim> = {}): Claim => ({
  ...createClaim(
    {
      requestId: "r",
      callId: "r/file/1",
      organisation: "c",
      fingerprint: "f",
      target: "t",
      remainingMs: 4_000,
    } as StageCall,
    { token, now: NOW },
  ),
  ...overrides,
});

const decide = (stored: Claim, now = NOW) =>
  decideClaim(stored, claim("own"), now);

const reason = (stored: Claim, now = NOW) => {
  const decision = decide(stored, now);
  return "refusal" in decision
    ? `${decision.refusal.reason} ${decision.refusal.proof}`
    : decision.kind;
};

test("decideClaim() runs the attempt that holds the claim", () => {
  assert.deepEqual(decide(claim("own")), { kind: "run" });
});

test("decideClaim() never runs an attempt on the claim of another", () => {
  Object.values(ClaimState).forEach((state) =>
    assert.notEqual(decide(claim("other", { state })).kind, "run")
  );
});

test("decideClaim() does not run an attempt whose claim has ended", () => {
  [ClaimState.Done, ClaimState.Unknown, ClaimState.NotRun].forEach((state) =>
    assert.notEqual(decide(claim("own", { state })).kind, "run")
  );
});

test("decideClaim() refuses another request body as a conflict", () => {
  assert.equal(
    reason(claim("other", { fingerprint: "g" })),
    "key-conflict not-run",
  );
});

test("decideClaim() replays the stored result", () => {
  const done = claim("other", { state: ClaimState.Done, result: RESULT });
  assert.deepEqual(decide(done), { kind: "replay", result: RESULT });
});

test("decideClaim() refuses a call whose key was closed", () => {
  const closed = claim("other", { state: ClaimState.NotRun });
  assert.equal(reason(closed), "superseded not-run");
});

test("decideClaim() reports running, then unknown after the end", () => {
  assert.equal(reason(claim("other")), "key-running outcome-unknown");
  assert.equal(reason(claim("other"), END), "key-unknown outcome-unknown");
});

test("resolveClaim() resolves only unknown outcomes", () => {
  const as = (state: ClaimState, now: number) =>
    resolveClaim(claim("t", { state }), { as: "not-run", now })?.state;
  assert.equal(as(ClaimState.Unknown, NOW), "not-run");
  assert.equal(as(ClaimState.Claimed, END), "not-run");
  assert.equal(as(ClaimState.Claimed, NOW), undefined);
  assert.equal(as(ClaimState.Done, END), undefined);
  assert.equal(as(ClaimState.NotRun, END), undefined);
});

test("resolveClaim() with run stores a result that is replayed", () => {
  const unknown = claim("t", { state: ClaimState.Unknown });
  const resolved = resolveClaim(unknown, { as: "run", now: NOW }) as Claim;
  const decision = decide(resolved);
  assert.equal(decision.kind, "replay");
  assert.deepEqual(resolved.result?.output, { resolvedAs: "run" });
});

test("sweepAction() keeps rows for their retention time", () => {
  const actionAt = (state: ClaimState, now: number) =>
    sweepAction(claim("t", { state }), now);
  assert.equal(actionAt(ClaimState.Done, NOW + DONE_RETENTION_MS), "keep");
  assert.equal(
    actionAt(ClaimState.Done, NOW + DONE_RETENTION_MS + 1),
    "delete",
  );
  assert.equal(actionAt(ClaimState.NotRun, NOW + NOT_RUN_RETENTION_MS), "keep");
  assert.equal(
    actionAt(ClaimState.NotRun, NOW + NOT_RUN_RETENTION_MS + 1),
    "delete",
  );
  assert.equal(
    actionAt(ClaimState.Claimed, END + OVERDUE_GRACE_MS - 1),
    "keep",
  );
  assert.equal(
    actionAt(ClaimState.Claimed, END + OVERDUE_GRACE_MS),
    "mark-unknown",
  );
  assert.equal(actionAt(ClaimState.Unknown, NOW * 9), "keep");
});
