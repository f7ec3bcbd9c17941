/**
 * Reading and resolving the records of non-idempotent calls.
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

/** One record as operators see it. */
export interface ClaimRecord {
  /** Organisation and idempotency key, `ORGANISATION/KEY`. */
  readonly key: string;
  readonly state: string;
  readonly requestId: string;
  readonly callId: string;
  readonly target: string;
  /** Time of the claim, ISO 8601. */
  readonly claimedAt: string;
  /** Time by which the attempt ends, ISO 8601. */
  readonly endsBy: string;
  /** Digest of the recorded result. */
  readonly digest?: string;
}

/** Records whose outcome nobody can tell. */
export async function unknownOutcomes(
  table: Table,
): Promise<readonly ClaimRecord[]> {
  const now = Date.now();
  return await findRecords(table, (claim) => isOutcomeUnknown(claim, now));
}

/**
 * Records of a request, by its identifier or by `ORGANISATION/KEY` as the caller
 * chose it.
 */
export async function requestRecords(
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

/** Resolves an unknown outcome; refused when the record changed meanwhile. */
export async function resolveOutcome(
  table: Table,
  order: { key: string; as: Resolution },
): Promise<ClaimRecord> {
  const rowKey = CLAIM_PREFIX + order.key;
  const read = await table.read([rowKey]);
  if (read.isErr()) throw refused(read.error.message);
  const row = read.value[0];
  if (!row || row.version === 0) {
    throw refused(`There is no record of ${order.key}`);
  }
  const claim = row.value as Claim;
  const after = resolveClaim(claim, { as: order.as, now: Date.now() });
  if (!after) {
    throw refused(`The outcome of ${order.key} is not unknown: ${claim.state}`);
  }
  const result = await table.commit({
    checks: [{ key: rowKey, version: row.version }],
    puts: [{ key: rowKey, value: after }],
  });
  if (result.isErr()) throw refused(result.error.message);
  if (!result.value.committed) {
    throw refused(`The record of ${order.key} was changed by someone else`);
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
    if (page.isErr()) throw refused(page.error.message);
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

function refused(message: string): CommandError {
  return new CommandError(ExitCode.Refused, message);
}
