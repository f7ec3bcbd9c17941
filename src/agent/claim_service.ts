/**
 * Claims and records of non-idempotent calls in the table service.
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
  type GroupCommitOptions,
  Ledger,
  type StandingClaim,
} from "../process/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";

const RETRY_AFTER_MS = 2_000;
/**
 * Longest time that an answer waits for its record, in milliseconds. The
 * record goes on being written after that.
 */
const RECORD_WAIT_MS = 500;

/** A claim that this attempt holds. */
export interface HeldClaim {
  readonly claim: Claim;
  /** Version of the claim's row. */
  readonly version: number;
}

/** What follows from asking for a claim. */
export type ClaimOutcome =
  | { readonly kind: "held"; readonly held: HeldClaim }
  | Exclude<ClaimDecision, { kind: "run" }>;

/** Options of a {@linkcode ClaimService}. */
export interface ClaimServiceOptions extends GroupCommitOptions {
  readonly log?: Logger;
  readonly metrics?: Metrics;
}

/** Makes claims and records outcomes. */
export class ClaimService {
  readonly #ledger: Ledger;
  readonly #log: Logger | undefined;
  readonly #metrics: Metrics | undefined;
  readonly #abort = new AbortController();
  readonly #unrecorded = new Set<Promise<unknown>>();

  constructor(table: Table, opts: ClaimServiceOptions = {}) {
    this.#ledger = new Ledger(table, opts);
    this.#log = opts.log;
    this.#metrics = opts.metrics;
    // Each record that waits for the platform listens to the signal.
    setMaxListeners(0, this.#abort.signal);
    this.#metrics?.gauge("claims_unrecorded", () => this.#unrecorded.size);
  }

  /** Asks for the claim of a call, immediately before the call runs. */
  async claim(
    call: StageCall,
    token: string,
  ): Promise<Result<ClaimOutcome, Refusal>> {
    const own = createClaim(call, { token, now: Date.now() });
    const version = call.claimVersion ?? 0;
    const answer = await this.#ledger.write(own, version);
    if (answer.isErr()) {
      if (answer.error.mayHaveApplied) this.#release(own, version);
      return err(unclaimed());
    }
    return ok(outcomeOf(own, answer.value.standing));
  }

  /** Records how a call that holds a claim ended. */
  async record(
    held: HeldClaim,
    outcome: Result<StageResult, Refusal>,
  ): Promise<void> {
    const after = outcome.match(
      (result) => doneClaim(held.claim, result),
      ({ proof }) =>
        proof === Proof.NotRun
          ? notRunClaim(held.claim)
          : unknownClaim(held.claim),
    );
    if (outcome.isErr() && outcome.error.proof === Proof.OutcomeUnknown) {
      this.#reportUnknown(held.claim, outcome.error.detail);
    }
    const written = this.#keep(this.#replace(after, held.version));
    await Promise.race([written, sleep(RECORD_WAIT_MS)]);
  }

  /** Resolves when every record is written, or after `ms` milliseconds. */
  async drain(ms: number): Promise<void> {
    await Promise.race([
      Promise.allSettled(this.#unrecorded),
      sleep(ms),
    ]);
    this.#abort.abort();
  }

  async #replace(after: Claim, version: number): Promise<void> {
    const { signal } = this.#abort;
    const done = await this.#ledger.writeUntilAnswered(after, version, signal);
    done.match(
      ({ written, standing }) => {
        if (written) return;
        this.#log?.error("outcome_not_recorded", {
          call: after.callId,
          outcome: after.state,
          standing: standing.claim?.state ?? "absent",
        });
      },
      (failure) =>
        this.#log?.error("outcome_not_recorded", {
          call: after.callId,
          outcome: after.state,
          detail: failure.message,
        }),
    );
  }

  /** Closes the key for an insert whose answer was lost and may come late. */
  #release(own: Claim, version: number): void {
    void this.#keep(this.#releaseInserted(own, version));
  }

  async #releaseInserted(own: Claim, version: number): Promise<void> {
    const { signal } = this.#abort;
    const closed = await this.#ledger
      .writeUntilAnswered(notRunClaim(own), version, signal);
    if (closed.isErr() || closed.value.written) return;
    const { standing } = closed.value;
    if (standing.claim?.token !== own.token) return;
    await this.#replace(notRunClaim(own), standing.version);
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

  #keep(work: Promise<void>): Promise<void> {
    this.#unrecorded.add(work);
    return work.finally(() => this.#unrecorded.delete(work));
  }
}

function outcomeOf(own: Claim, standing: StandingClaim): ClaimOutcome {
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

function unclaimed(): Refusal {
  return notRun(
    RefusalReason.PlatformUnavailable,
    "No claim could be made, so the call was not run",
    RETRY_AFTER_MS,
  );
}
