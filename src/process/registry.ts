/**
 * Registration of targets in the table service.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { Target, TargetId } from "../model/mod.ts";
import type { PlatformError, Table } from "../platform/mod.ts";

const TARGET_PREFIX = "target/";

/** Registers a target, or replaces its registration. */
export function registerTarget(
  table: Table,
  target: Target,
  signal?: AbortSignal,
): ResultAsync<void, PlatformError> {
  const puts = [{ key: TARGET_PREFIX + target.id, value: target }];
  return table.commit({ checks: [], puts }, signal).map(() => undefined);
}

/** Withdraws the registration of a target. */
export function withdrawTarget(
  table: Table,
  id: TargetId,
): ResultAsync<void, PlatformError> {
  const deletes = [TARGET_PREFIX + id];
  return table.commit({ checks: [], puts: [], deletes }).map(() => undefined);
}

/** Reads all registered targets. */
export function readTargets(
  table: Table,
  signal?: AbortSignal,
): ResultAsync<readonly Target[], PlatformError> {
  return table.scan(TARGET_PREFIX, { signal }).map(({ rows }) =>
    rows.map((row) => row.value as Target)
  );
}
