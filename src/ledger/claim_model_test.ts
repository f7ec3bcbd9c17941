import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { StageCall, StageResult } from "../model/mod.ts";
import {
  type Claim,
  ClaimState,
  createClaim,
  decideClaim,
  doneClaim,
  notRunClaim,
  resolveClaim,
  unknownClaim,
} from "./claim.ts";

const RUNS = 4_000;
const ATTEMPTS = 5;
const STEP_MS = 9_000;
const CALL = {
  callId: "r/file/1",
  fingerprint: "f",
  remainingMs: 1,
} as StageCall;

/** Steps of an attempt, of another request or of the operator. */
const STEPS = [
  "start",
  "claim",
  "run",
  "finish",
  "lose",
  "withdraw",
  "close",
  "resolve",
  "wait",
] as const;
type Step = typeof STEPS[number];

interface Attempt {
  version?: number;
  claim?: Claim;
  /** Version of the row at which the attempt holds the claim. */
  held?: number;
  ran?: boolean;
  isClosed?: boolean;
}

/** One row of the table, attempts at its key, and the number of runs. */
class Model {
  row: { version: number; claim?: Claim } = { version: 0 };
  now = 0;
  runs = 0;
  reopened = 0;
  readonly attempts: Attempt[] = Array.from({ length: ATTEMPTS }, () => ({}));

  apply(index: number, step: Step): void {
    const before = this.row.claim;
    const attempt = this.attempts[index] as Attempt;
    this[step](attempt, `token-${index}-${this.now}`);
    if (before?.state === ClaimState.Done) {
      assert.deepEqual(this.row.claim, before, "a done claim never changes");
    }
  }

  /** A request reads the row; its call gets a version if the key is open. */
  start(attempt: Attempt): void {
    const state = this.row.claim?.state;
    const isOpen = state === undefined || state === ClaimState.NotRun;
    if (isOpen && attempt.version === undefined) {
      attempt.version = this.row.version;
    }
  }

  claim(attempt: Attempt, token: string): void {
    if (attempt.version === undefined || attempt.claim) return;
    attempt.claim = createClaim(CALL, { token, now: this.now });
    this.write(attempt.claim, attempt.version);
    const stored = this.row.claim as Claim;
    const decision = decideClaim(stored, attempt.claim, this.now);
    if (decision.kind === "run") attempt.held = this.row.version;
  }

  run(attempt: Attempt): void {
    if (attempt.held === undefined || attempt.ran) return;
    assert.ok(!attempt.isClosed, "a closed call never runs");
    attempt.ran = true;
    this.runs += 1;
  }

  finish({ claim, held, ran }: Attempt): void {
    if (!claim || !held || !ran) return;
    this.write(doneClaim(claim, { output: 1 } as StageResult), held);
  }

  lose({ claim, held }: Attempt): void {
    if (claim && held) this.write(unknownClaim(claim), held);
  }

  /** Only a call that has not been sent is withdrawn; it is never sent. */
  withdraw(attempt: Attempt): void {
    const { claim, held, ran } = attempt;
    if (!claim || !held || ran) return;
    this.write(notRunClaim(claim), held);
    attempt.held = undefined;
  }

  /** Another request closes the key; calls started before never run. */
  close(_attempt: Attempt, token: string): void {
    const { claim, version } = this.row;
    if (claim && claim.state !== ClaimState.NotRun) return;
    const own = createClaim(CALL, { token, now: this.now });
    this.write(notRunClaim(own), version);
    this.attempts.filter((one) => one.version !== undefined && !one.held)
      .forEach((one) => {
        one.isClosed = true;
      });
  }

  /** An operator who knows whether the call ran resolves its outcome. */
  resolve(): void {
    const { claim, version } = this.row;
    if (!claim) return;
    const holder = this.attempts.find((one) =>
      one.claim?.token === claim.token
    );
    const as = holder?.ran ? "run" : "not-run";
    const after = resolveClaim(claim, { as, now: this.now });
    if (!after) return;
    this.write(after, version);
    if (holder) holder.held = undefined;
  }

  wait(): void {
    this.now += STEP_MS;
  }

  write(claim: Claim, version: number): void {
    if (this.row.version !== version) return;
    this.row = { version: version + 1, claim };
  }
}

/*
 * Fails when decideClaim() does not compare tokens (two runs), and when
 * write() does not check the version (a done claim changes).
 */
test("calls with one key run at most once in random histories", () => {
  const steps = fc.array(
    fc.tuple(fc.nat(ATTEMPTS - 1), fc.constantFrom(...STEPS)),
    { minLength: 20, maxLength: 80, size: "max" },
  );
  fc.assert(
    fc.property(steps, (history) => {
      const model = new Model();
      history.forEach(([index, step]) => model.apply(index, step));
      assert.ok(model.runs <= 1, `${model.runs} runs`);
    }),
    { numRuns: RUNS, seed: 4 },
  );
});
