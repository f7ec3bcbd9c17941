/**
 * What an entry asks of the record of an idempotency key: what stands there,
 * and that calls started so far never run.
 *
 * @module
 */

import { err, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import {
  type Claim,
  type ClaimDecision,
  ClaimState,
  createClaim,
  decideClaim,
  notRunClaim,
} from "../ledger/mod.ts";
import {
  type IdempotencyKey,
  notRun,
  type OrganisationId,
  outcomeUnknown,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import type { Ledger, StandingClaim } from "../process/mod.ts";

/** Longest wait for a call that is running elsewhere, in milliseconds. */
const SETTLE_MS = 1_000;
const SETTLE_POLL_MS = 50;
/** Longest wait for the platform before a refusal is given, in milliseconds. */
const CLOSE_WAIT_MS = 500;
/** Tries to close a key that other requests close at the same time. */
const MAX_CLOSE_TURNS = 8;
const RETRY_AFTER_MS = 2_000;

/** What became of a call whose answer was lost. */
export type Settled =
  /** The call did not run and never will; `version` is the row's new one. */
  | { readonly kind: "not-run"; readonly version: number }
  | { readonly kind: "done"; readonly result: StageResult }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** The record of idempotency keys, as an entry uses it. */
export class KeyRecord {
  readonly #ledger: Ledger;

  constructor(ledger: Ledger) {
    this.#ledger = ledger;
  }

  /** Reads what stands for each of an organisation's keys. */
  read(
    organisation: OrganisationId,
    keys: readonly IdempotencyKey[],
  ): Promise<Result<readonly StandingClaim[], Refusal>> {
    return Promise.resolve(
      this.#ledger.read(organisation, keys).mapErr(() => recordUnreadable()),
    );
  }

  /**
   * Finds out what became of a call whose answer was lost. If no attempt holds
   * the key yet, the key is closed, so that the call can never run; otherwise
   * the outcome is awaited for a short time.
   */
  async settle(
    call: StageCall,
    opts: { deadlineAt: number; signal: AbortSignal },
  ): Promise<Settled> {
    const closed = await this.#close(call);
    if (closed.isErr()) return { kind: "refused", refusal: closed.error };
    const first = closed.value;
    if (first.written) return notRunAt(first.standing);
    const until = Math.min(opts.deadlineAt, monotonicMs() + SETTLE_MS);
    let standing = first.standing;
    while (
      isRunning(standing, call) && monotonicMs() < until && !opts.signal.aborted
    ) {
      await sleep(SETTLE_POLL_MS, opts.signal);
      const again = await this.#ledger.read(call.organisation, [keyOf(call)]);
      standing = again.isOk() ? again.value[0] ?? standing : standing;
    }
    return settledBy(standing, call);
  }

  /**
   * Confirms that a key did not run and closes it for every call started so
   * far. Gives the refusal to tell the caller otherwise.
   */
  async confirmNotRun(call: StageCall): Promise<Refusal | undefined> {
    let version = call.claimVersion ?? 0;
    for (let turn = 0; turn < MAX_CLOSE_TURNS; turn += 1) {
      const closed = await this.#close({ ...call, claimVersion: version });
      if (closed.isErr()) return closed.error;
      if (closed.value.written) return undefined;
      const { claim, version: standing } = closed.value.standing;
      const isOpen = !claim || claim.state === ClaimState.NotRun;
      if (!isOpen) return refusalBy(claim);
      version = standing;
    }
    return recordUnreadable();
  }

  /** Writes a not-run row at the version that the call was started with. */
  async #close(call: StageCall) {
    const own = createClaim(call, { token: randomUUID(), now: Date.now() });
    const write = this.#ledger
      .write(notRunClaim(own), call.claimVersion ?? 0);
    const late = sleep(CLOSE_WAIT_MS, timeoutSignal(CLOSE_WAIT_MS));
    const closed = await Promise.race([write, late]);
    return closed?.mapErr(recordUnreadable) ?? err(recordUnreadable());
  }
}

/** Decides about a call of an entry, which never holds a claim itself. */
export function decideFor(
  claim: Claim,
  call: { fingerprint: string },
): ClaimDecision {
  const seeker = { token: "", fingerprint: call.fingerprint };
  return decideClaim(claim, seeker, Date.now());
}

/** Call for closing the key of a stage that was not sent. */
export function unsentCall(
  call: Omit<StageCall, "callId" | "target" | "remainingMs">,
): StageCall {
  return { ...call, callId: call.requestId, target: "none", remainingMs: 0 };
}

/** True when the row leaves the key to further attempts of the request. */
export function isClosedByOwn(
  claim: Claim,
  { requestId }: { requestId: string },
): boolean {
  return claim.state === ClaimState.NotRun && claim.requestId === requestId;
}

function refusalBy(claim: Claim): Refusal {
  const decision = decideFor(claim, claim);
  return "refusal" in decision ? decision.refusal : keyDone();
}

function keyOf(call: StageCall): IdempotencyKey {
  return call.idempotencyKey ?? "";
}

function isRunning({ claim }: StandingClaim, call: StageCall): boolean {
  return claim !== undefined && decideFor(claim, call).kind === "running";
}

function notRunAt({ version }: StandingClaim): Settled {
  return { kind: "not-run", version };
}

function settledBy(standing: StandingClaim, call: StageCall): Settled {
  const { claim } = standing;
  if (!claim || isClosedByOwn(claim, call)) return notRunAt(standing);
  const decision = decideFor(claim, call);
  switch (decision.kind) {
    case "replay":
      return {
        kind: "done",
        result: { ...decision.result, callId: call.callId, replayed: true },
      };
    case "running":
    case "refuse":
      return { kind: "refused", refusal: decision.refusal };
    case "run":
      return { kind: "refused", refusal: recordUnreadable() };
  }
}

function recordUnreadable(): Refusal {
  return outcomeUnknown(
    RefusalReason.PlatformUnavailable,
    "The record of the idempotency key cannot be reached, so an earlier " +
      "request with the key may have run",
    RETRY_AFTER_MS,
  );
}

function keyDone(): Refusal {
  return outcomeUnknown(
    RefusalReason.KeyRunning,
    "An earlier request with this key ran; a repeat gets its result",
    RETRY_AFTER_MS,
  );
}

/** Refusal of a call that was settled as never running. */
export function neverRuns(detail: string): Refusal {
  return notRun(RefusalReason.Silent, detail, RETRY_AFTER_MS);
}
