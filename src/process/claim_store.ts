/**
 * Claims in the table service, shared by entries and agents.
 *
 * @module
 */

import { err, ok, type Result, ResultAsync } from "neverthrow";
import { sleep } from "../kernel/mod.ts";
import { type Claim, claimKey } from "../ledger/mod.ts";
import type { IdempotencyKey, OrganisationId } from "../model/mod.ts";
import type { PlatformError, Row, Table } from "../store/mod.ts";
import { GroupCommit, type GroupCommitOptions } from "./group_commit.ts";

/** A claim as stored; `claim` is undefined when there is no row. */
export interface StoredClaim {
  readonly version: number;
  readonly claim?: Claim;
}

/** Result of a conditional write of a claim. */
export interface ClaimWrite {
  readonly written: boolean;
  /** Claim stored after the write, whether or not it took effect. */
  readonly standing: StoredClaim;
}

/** First pause between the retries of a write, in milliseconds. */
const INITIAL_RETRY_PAUSE_MS = 100;
/** Maximum pause between the retries of a write, in milliseconds. */
const MAX_RETRY_PAUSE_MS = 10_000;

/** Reads and writes claims. */
export class ClaimStore {
  readonly #table: Table;
  readonly #commits: GroupCommit;

  constructor(table: Table, opts: GroupCommitOptions = {}) {
    this.#table = table;
    this.#commits = new GroupCommit(table, opts);
  }

  /** Reads the claims of an organisation's keys, in the order of `keys`. */
  read(
    organisation: OrganisationId,
    keys: readonly IdempotencyKey[],
  ): ResultAsync<readonly StoredClaim[], PlatformError> {
    return this.#table.read(keys.map((key) => claimKey(organisation, key)))
      .map((rows) => rows.map(storedClaimOf));
  }

  /** Writes a claim if its row is at `version`. */
  write(
    claim: Claim,
    version: number,
  ): ResultAsync<ClaimWrite, PlatformError> {
    const key = claimKey(claim.organisation, claim.key);
    return new ResultAsync(this.#commits.write({ key, version, value: claim }))
      .map(({ written, row }) => ({ written, standing: storedClaimOf(row) }));
  }

  /**
   * Writes a claim; retries with exponential backoff until the platform has
   * responded or `signal` aborts.
   */
  async writeWithRetries(
    claim: Claim,
    version: number,
    signal: AbortSignal,
  ): Promise<Result<ClaimWrite, PlatformError>> {
    for (let pauseMs = INITIAL_RETRY_PAUSE_MS;; pauseMs *= 2) {
      const result = await this.write(claim, version);
      if (result.isOk()) return ok(result.value);
      if (signal.aborted) return err(result.error);
      await sleep(Math.min(pauseMs, MAX_RETRY_PAUSE_MS), signal);
    }
  }
}

function storedClaimOf(row: Row): StoredClaim {
  return row.version === 0
    ? { version: 0 }
    : { version: row.version, claim: row.value as Claim };
}
