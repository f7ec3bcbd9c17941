/**
 * An entry's access to the records of idempotency keys: it reads what is stored
 * and closes keys, so that calls started before never run.
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
import type { ClaimStore, StoredClaim } from "../process/mod.ts";

/** Longest wait for the outcome of a call that is running, in milliseconds. */
const SETTLE_TIMEOUT_MS = 1_000;
const SETTLE_POLL_INTERVAL_MS = 50;
/** Longest wait for the platform before a refusal is returned, in ms. */
const CLOSE_TIMEOUT_MS = 500;
/** Most attempts to close a key that other requests close concurrently. */
const MAX_CLOSE_ATTEMPTS = 8;
const RETRY_AFTER_MS = 2_000;

/** Outcome of a call whose response was lost. */
export type SettledOutcome =
  /** The call did not run and never will; `version` is now that of the row. */
  | { readonly kind: "not-run"; readonly version: number }
  | { readonly kind: "done"; readonly result: StageResult }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Reads and closes the records of idempotency keys. */
export class KeyRecord {
  readonly #claimStore: ClaimStore;

  constructor(claimStore: ClaimStore) {
    this.#claimStore = claimStore;
  }

  /** Reads the stored claim of each of an organisation's keys. */
  read(
    organisation: OrganisationId,
    keys: readonly IdempotencyKey[],
  ): Promise<Result<readonly StoredClaim[], Refusal>> {
    return Promise.resolve(
      this.#claimStore.read(organisation, keys).mapErr(() =>
        recordUnreachable()
      ),
    );
  }

  /**
   * Determines the outcome of a call whose response was lost. If no attempt
   * holds the key yet, closes the key, so that the call can never run;
   * otherwise waits for the outcome until the deadline, at most
   * {@linkcode SETTLE_TIMEOUT_MS}.
   */
  async settle(
    call: StageCall,
    opts: { deadlineAt: number; signal: AbortSignal },
  ): Promise<SettledOutcome> {
    const closed = await this.#close(call);
    if (closed.isErr()) return { kind: "refused", refusal: closed.error };
    const first = closed.value;
    if (first.written) return notRunAt(first.standing);
    const until = Math.min(opts.deadlineAt, monotonicMs() + SETTLE_TIMEOUT_MS);
    let standing = first.standing;
    while (
      isRunning(standing, call) && monotonicMs() < until && !opts.signal.aborted
    ) {
      await sleep(SETTLE_POLL_INTERVAL_MS, opts.signal);
      const reread = await this.#claimStore.read(call.organisation, [
        keyOf(call),
      ]);
      standing = reread.isOk() ? reread.value[0] ?? standing : standing;
    }
    return settledFrom(standing, call);
  }

  /**
   * Confirms that no call with the key ran and closes the key for every call
   * started so far. Otherwise returns the refusal to report to the caller.
   */
  async confirmNotRun(call: StageCall): Promise<Refusal | undefined> {
    let version = call.claimVersion ?? 0;
    for (let attempt = 0; attempt < MAX_CLOSE_ATTEMPTS; attempt += 1) {
      const closed = await this.#close({ ...call, claimVersion: version });
      if (closed.isErr()) return closed.error;
      if (closed.value.written) return undefined;
      const { claim, version: storedVersion } = closed.value.standing;
      const isOpen = !claim || claim.state === ClaimState.NotRun;
      if (!isOpen) return refusalFrom(claim);
      version = storedVersion;
    }
    return recordUnreachable();
  }

  /** Writes a not-run claim if the row has the version of the call's start. */
  async #close(call: StageCall) {
    const own = createClaim(call, { token: randomUUID(), now: Date.now() });
    const write = this.#claimStore
      .write(notRunClaim(own), call.claimVersion ?? 0);
    const timeout = sleep(CLOSE_TIMEOUT_MS, timeoutSignal(CLOSE_TIMEOUT_MS));
    const closed = await Promise.race([write, timeout]);
    return closed?.mapErr(recordUnreachable) ?? err(recordUnreachable());
  }
}

/**
 * Decides about a call from a stored claim. The token is empty, since an entry
 * never holds a claim itself.
 */
export function decideForEntry(
  claim: Claim,
  call: { fingerprint: string },
): ClaimDecision {
  const attempt = { token: "", fingerprint: call.fingerprint };
  return decideClaim(claim, attempt, Date.now());
}

/** Returns the call that closes the key of a stage that was not sent. */
export function unsentCall(
  call: Omit<StageCall, "callId" | "target" | "remainingMs">,
): StageCall {
  return { ...call, callId: call.requestId, target: "none", remainingMs: 0 };
}

/**
 * True when the key was closed on behalf of the request itself, whose further
 * attempts may then claim it.
 */
export function isClosedByRequest(
  claim: Claim,
  { requestId }: { requestId: string },
): boolean {
  return claim.state === ClaimState.NotRun && claim.requestId === requestId;
}

function refusalFrom(claim: Claim): Refusal {
  const decision = decideForEntry(claim, claim);
  return "refusal" in decision ? decision.refusal : alreadyRan();
}

function keyOf(call: StageCall): IdempotencyKey {
  return call.idempotencyKey ?? "";
}

function isRunning({ claim }: StoredClaim, call: StageCall): boolean {
  return claim !== undefined && decideForEntry(claim, call).kind === "running";
}

function notRunAt({ version }: StoredClaim): SettledOutcome {
  return { kind: "not-run", version };
}

function settledFrom(stored: StoredClaim, call: StageCall): SettledOutcome {
  const { claim } = stored;
  if (!claim || isClosedByRequest(claim, call)) return notRunAt(stored);
  const decision = decideForEntry(claim, call);
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
      return { kind: "refused", refusal: recordUnreachable() };
  }
}

function recordUnreachable(): Refusal {
  return outcomeUnknown(
    RefusalReason.PlatformUnavailable,
    "The record of the idempotency key cannot be reached, so an earlier " +
      "request with the key may have run",
    RETRY_AFTER_MS,
  );
}

function alreadyRan(): Refusal {
  return outcomeUnknown(
    RefusalReason.KeyRunning,
    "An earlier request with this key ran; a repeat gets its result",
    RETRY_AFTER_MS,
  );
}

/** Refusal of a call that is certain never to run. */
export function closedBeforeRun(detail: string): Refusal {
  return notRun(RefusalReason.Silent, detail, RETRY_AFTER_MS);
}
