/**
 * Writes the claims and outcomes of non-idempotent calls to the table service.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { setMaxListeners } from "node:events";
import { sleep } from "../kernel/mod.ts";
import {
  type Claim,
  type ClaimDecision,
  createClaim,
  decideClaim,
  doneClaim,
  notRunClaim,
  unknownClaim,
} from "../ledger/mod.ts";
import {
  notRun,
  Proof,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import type { Table } from "../store/mod.ts";
import {
  ClaimStore,
  type GroupCommitOptions,
  type StoredClaim,
} from "../process/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";

const RETRY_AFTER_MS = 2_000;
/**
 * Maximum time for which a response waits for its outcome to be recorded, in
 * milliseconds. The write continues after that.
 */
const RECORD_WAIT_MS = 500;

/** A claim that this attempt holds. */
export interface HeldClaim {
  readonly claim: Claim;
  /** Version of the claim's row. */
  readonly version: number;
}

/** Outcome of requesting a claim. */
export type ClaimOutcome =
  | { readonly kind: "held"; readonly held: HeldClaim }
  | Exclude<ClaimDecision, { kind: "run" }>;

/** Options of a {@linkcode ClaimService}. */
export interface ClaimServiceOptions extends GroupCommitOptions {
  readonly log?: Logger;
  readonly metrics?: Metrics;
}

/** Requests claims and records outcomes. */
export class ClaimService {
  readonly #claimStore: ClaimStore;
  readonly #log: Logger | undefined;
  readonly #metrics: Metrics | undefined;
  readonly #abort = new AbortController();
  readonly #pendingWrites = new Set<Promise<unknown>>();

  constructor(table: Table, opts: ClaimServiceOptions = {}) {
    this.#claimStore = new ClaimStore(table, opts);
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    // Each pending write adds a listener to the signal. Their number has no
    // bound, so 0 turns off the warning about listener leaks.
    setMaxListeners(0, this.#abort.signal);
    this.#metrics?.gauge("claims_unrecorded", () => this.#pendingWrites.size);
  }

  /** Requests the claim of a call, immediately before the call runs. */
  async claim(
    call: StageCall,
    token: string,
  ): Promise<Result<ClaimOutcome, Refusal>> {
    const own = createClaim(call, { token, now: Date.now() });
    const version = call.claimVersion ?? 0;
    const result = await this.#claimStore.write(own, version);
    if (result.isErr()) {
      if (result.error.mayHaveApplied) this.#withdrawInBackground(own, version);
      return err(claimUnavailable());
    }
    return ok(outcomeOf(own, result.value.standing));
  }

  /** Records the outcome of a call that holds a claim. */
  async record(
    held: HeldClaim,
    outcome: Result<StageResult, Refusal>,
  ): Promise<void> {
    const updated = outcome.match(
      (result) => doneClaim(held.claim, result),
      ({ proof }) =>
        proof === Proof.NotRun
          ? notRunClaim(held.claim)
          : unknownClaim(held.claim),
    );
    if (outcome.isErr() && outcome.error.proof === Proof.OutcomeUnknown) {
      this.#reportUnknown(held.claim, outcome.error.detail);
    }
    const written = this.#track(this.#writeOutcome(updated, held.version));
    await Promise.race([written, sleep(RECORD_WAIT_MS)]);
  }

  /**
   * Resolves when all pending writes have ended, or after `ms` milliseconds.
   * Writes are not retried after that.
   */
  async drain(ms: number): Promise<void> {
    await Promise.race([
      Promise.allSettled(this.#pendingWrites),
      sleep(ms),
    ]);
    this.#abort.abort();
  }

  async #writeOutcome(updated: Claim, version: number): Promise<void> {
    const { signal } = this.#abort;
    const result = await this.#claimStore.writeWithRetries(
      updated,
      version,
      signal,
    );
    result.match(
      ({ written, standing }) => {
        if (written) return;
        this.#log?.error("outcome_not_recorded", {
          call: updated.callId,
          outcome: updated.state,
          standing: standing.claim?.state ?? "absent",
        });
      },
      (failure) =>
        this.#log?.error("outcome_not_recorded", {
          call: updated.callId,
          outcome: updated.state,
          detail: failure.message,
        }),
    );
  }

  /**
   * Closes the key after the response to the write of its claim was lost. That
   * write may still take effect, and would hold the key although the call does
   * not run.
   */
  #withdrawInBackground(own: Claim, version: number): void {
    void this.#track(this.#withdraw(own, version));
  }

  async #withdraw(own: Claim, version: number): Promise<void> {
    const { signal } = this.#abort;
    const closed = await this.#claimStore
      .writeWithRetries(notRunClaim(own), version, signal);
    if (closed.isErr() || closed.value.written) return;
    const { standing } = closed.value;
    if (standing.claim?.token !== own.token) return;
    await this.#writeOutcome(notRunClaim(own), standing.version);
  }

  #reportUnknown(claim: Claim, detail: string): void {
    this.#metrics?.count("outcomes_unknown_total", {
      organisation: claim.organisation,
    });
    this.#log?.error("outcome_unknown", {
      call: claim.callId,
      organisation: claim.organisation,
      idempotency_key: claim.key,
      detail,
    });
  }

  #track(work: Promise<void>): Promise<void> {
    this.#pendingWrites.add(work);
    return work.finally(() => this.#pendingWrites.delete(work));
  }
}

function outcomeOf(own: Claim, standing: StoredClaim): ClaimOutcome {
  const { claim, version } = standing;
  if (!claim) return { kind: "refuse", refusal: superseded() };
  const decision = decideClaim(claim, own, Date.now());
  return decision.kind === "run"
    ? { kind: "held", held: { claim: own, version } }
    : decision;
}

function superseded(): Refusal {
  return notRun(
    RefusalReason.Superseded,
    "The record of the key was removed before the call could run",
    RETRY_AFTER_MS,
  );
}

function claimUnavailable(): Refusal {
  return notRun(
    RefusalReason.PlatformUnavailable,
    "No claim could be made, so the call was not run",
    RETRY_AFTER_MS,
  );
}
