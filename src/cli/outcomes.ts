/**
 * Reads and resolves the records of non-idempotent calls.
 *
 * @module
 */

import {
  type Claim,
  CLAIM_PREFIX,
  isOutcomeUnknown,
  type Resolution,
  resolveClaim,
} from "../ledger/mod.ts";
import type { Table } from "../store/mod.ts";
import { CommandError, ExitCode } from "./exit.ts";

/** A claim as shown to operators. */
export interface ClaimRecord {
  /** Organisation and idempotency key of the call, `ORGANISATION/KEY/STAGE`. */
  readonly key: string;
  readonly state: string;
  readonly requestId: string;
  readonly callId: string;
  readonly target: string;
  /** Time of the claim, ISO 8601. */
  readonly claimedAt: string;
  /** Latest time at which the attempt ends, ISO 8601. */
  readonly endsBy: string;
  /** Digest of the recorded result; absent without one. */
  readonly digest?: string;
}

/** Returns the records with an unknown outcome. */
export async function findUnknownOutcomes(
  table: Table,
): Promise<readonly ClaimRecord[]> {
  const now = Date.now();
  return await findRecords(table, (claim) => isOutcomeUnknown(claim, now));
}

/**
 * Returns the records of a request, found by its identifier or by
 * `ORGANISATION/KEY` with the key that the caller chose. The key of a record
 * is the caller's key and the name of the stage, `KEY/STAGE`.
 */
export async function findRequestRecords(
  table: Table,
  id: string,
): Promise<readonly ClaimRecord[]> {
  return await findRecords(
    table,
    (claim) =>
      claim.requestId === id ||
      `${claim.organisation}/${claim.key}`.startsWith(`${id}/`),
  );
}

/**
 * Resolves an unknown outcome. Throws when the outcome is not unknown, or when
 * the record changes between the read and the write.
 */
export async function resolveOutcome(
  table: Table,
  resolution: { key: string; as: Resolution },
): Promise<ClaimRecord> {
  const rowKey = CLAIM_PREFIX + resolution.key;
  const read = await table.read([rowKey]);
  if (read.isErr()) throw refusedError(read.error.message);
  const row = read.value[0];
  if (!row || row.version === 0) {
    throw refusedError(`There is no record of ${resolution.key}`);
  }
  const claim = row.value as Claim;
  const after = resolveClaim(claim, { as: resolution.as, now: Date.now() });
  if (!after) {
    throw refusedError(
      `The outcome of ${resolution.key} is not unknown: ${claim.state}`,
    );
  }
  const result = await table.commit({
    checks: [{ key: rowKey, version: row.version }],
    puts: [{ key: rowKey, value: after }],
  });
  if (result.isErr()) throw refusedError(result.error.message);
  if (!result.value.committed) {
    throw refusedError(
      `The record of ${resolution.key} was changed by someone else`,
    );
  }
  return recordOf(after);
}

async function findRecords(
  table: Table,
  matches: (claim: Claim) => boolean,
): Promise<readonly ClaimRecord[]> {
  const found: ClaimRecord[] = [];
  let after: string | undefined;
  do {
    const page = await table.scan(CLAIM_PREFIX, { after });
    if (page.isErr()) throw refusedError(page.error.message);
    const claims = page.value.rows.map(({ value }) => value as Claim);
    found.push(...claims.filter(matches).map(recordOf));
    after = page.value.next;
  } while (after !== undefined);
  return found;
}

function recordOf(claim: Claim): ClaimRecord {
  return {
    key: `${claim.organisation}/${claim.key}`,
    state: claim.state,
    requestId: claim.requestId,
    callId: claim.callId,
    target: claim.target,
    claimedAt: new Date(claim.claimedAt).toISOString(),
    endsBy: new Date(claim.endsBy).toISOString(),
    digest: claim.result?.digest,
  };
}

function refusedError(message: string): CommandError {
  return new CommandError(ExitCode.Refused, message);
}
