/**
 * The claims in the table service, as entries and agents share them.
 *
 * @module
 */

import { err, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../kernel/mod.ts";
import { type Claim, claimKey } from "../ledger/mod.ts";
import type { IdempotencyKey, OrganisationId } from "../model/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import { GroupCommit, type GroupCommitOptions } from "./group_commit.ts";

/** A claim as it stands; the claim is undefined when there is no row. */
export interface StandingClaim {
  readonly version: number;
  readonly claim?: Claim;
}

/** Answer to a conditional write of a claim. */
export interface ClaimWrite {
  readonly written: boolean;
  /** What stands after the write was taken or refused. */
  readonly standing: StandingClaim;
}

/** Pauses between tries of a write that has to succeed, in milliseconds. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 10_000;

/** Reads and writes claims. */
export class Ledger {
  readonly #table: Table;
  readonly #commits: GroupCommit;

  constructor(table: Table, opts: GroupCommitOptions = {}) {
    this.#table = table;
    this.#commits = new GroupCommit(table, opts);
  }

  /** Reads the claims of an organisation's keys, in their order. */
  read(
    organisation: OrganisationId,
    keys: readonly IdempotencyKey[],
  ): ResultAsync<readonly StandingClaim[], PlatformError> {
    return this.#table.read(keys.map((key) => claimKey(organisation, key)))
      .map((rows) => rows.map(standingOf));
  }

  /** Writes a claim if its row has the version `version`. */
  write(
    claim: Claim,
    version: number,
  ): ResultAsync<ClaimWrite, PlatformError> {
    const key = claimKey(claim.organisation, claim.key);
    return new ResultAsync(this.#commits.write({ key, version, value: claim }))
      .map(({ written, row }) => ({ written, standing: standingOf(row) }));
  }

  /**
   * Writes a claim, trying again until the platform has answered or `signal`
   * aborts.
   */
  async writeUntilAnswered(
    claim: Claim,
    version: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimWrite, PlatformError>> {
    for (let pauseMs = FIRST_PAUSE_MS;; pauseMs *= 2) {
      const result = await this.write(claim, version);
      if (result.isOk()) return ok(result.value);
      if (signal.aborted) return err(result.error);
      await sleep(Math.min(pauseMs, LONGEST_PAUSE_MS), signal);
    }
  }
}

function standingOf(row: Row): StandingClaim {
  return row.version === 0
    ? { version: 0 }
    : { version: row.version, claim: row.value as Claim };
}
