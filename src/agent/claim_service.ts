/**
 * Claims and records of non-idempotent calls in the table service.
 *
 * @module
 */

import { errAsync, okAsync, type ResultAsync } from "neverthrow";
import {
  type Claim,
  type ClaimDecision,
  claimKey,
  ClaimState,
  createClaim,
  decideClaim,
} from "../ledger/mod.ts";
import {
  notRun,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import type { PlatformError, Row, Table } from "../platform/mod.ts";

const RETRY_AFTER_MS = 2_000;

/** A claim that this attempt holds. */
export interface HeldClaim {
  readonly claim: Claim;
  /** Version of the claim's row. */
  readonly version: number;
}

/** What follows from asking for a claim. */
export type ClaimOutcome = {
  readonly decision: ClaimDecision;
  readonly held: HeldClaim;
};

/** Makes claims and records outcomes. */
export class ClaimService {
  readonly #table: Table;

  constructor(table: Table) {
    this.#table = table;
  }

  /** Asks for the claim of a call, immediately before the call runs. */
  claim(call: StageCall, token: string): ResultAsync<ClaimOutcome, Refusal> {
    const own = createClaim(call, { token, now: Date.now() });
    const key = claimKey(own.customer, own.key);
    return this.#table
      .commit({ checks: [{ key, version: 0 }], puts: [{ key, value: own }] })
      .map((result) => result.committed ? result.rows[0] : result.conflicts[0])
      .orElse((err) => this.#readBack(key, err))
      .andThen((row) =>
        row && row.version > 0 ? okAsync(row) : errAsync(unclaimed())
      )
      .map((row) => ({
        decision: decideClaim(row.value as Claim, own, Date.now()),
        held: { claim: own, version: row.version },
      }));
  }

  /** Records the result of a call that ran. */
  done(
    held: HeldClaim,
    result: StageResult,
  ): ResultAsync<void, PlatformError> {
    const { claim } = held;
    return this.#replace(held, { ...claim, state: ClaimState.Done, result });
  }

  /** Records that the outcome of a call is unknown. */
  unknown(held: HeldClaim): ResultAsync<void, PlatformError> {
    return this.#replace(held, { ...held.claim, state: ClaimState.Unknown });
  }

  /** Withdraws the claim of a call that is certain not to have run. */
  withdraw({ claim, version }: HeldClaim): ResultAsync<void, PlatformError> {
    const key = claimKey(claim.customer, claim.key);
    return this.#table
      .commit({ checks: [{ key, version }], puts: [], deletes: [key] })
      .map(() => undefined);
  }

  #replace(held: HeldClaim, after: Claim): ResultAsync<void, PlatformError> {
    const key = claimKey(after.customer, after.key);
    return this.#table
      .commit({
        checks: [{ key, version: held.version }],
        puts: [{ key, value: after }],
      })
      .map(() => undefined);
  }

  /** After a lost answer the stored token tells whose claim stands. */
  #readBack(
    key: string,
    err: PlatformError,
  ): ResultAsync<Row | undefined, Refusal> {
    if (!err.mayHaveApplied) return errAsync(unclaimed());
    return this.#table.read([key])
      .map(([row]) => row)
      .mapErr(unclaimed);
  }
}

function unclaimed(): Refusal {
  return notRun(
    RefusalReason.PlatformUnavailable,
    "No claim could be made, so the call was not run",
    RETRY_AFTER_MS,
  );
}
