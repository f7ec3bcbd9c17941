/**
 * Differences between two versions of the lists.
 *
 * The size of a delta follows that of the change: it contains the organisations
 * that changed, and the other lists only when they differ.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Availability,
  canonicalJson,
  type Lists,
  type Organisation,
  type OrganisationId,
  type UseList,
} from "../model/mod.ts";

/** Difference that turns the lists of version `from` into those of `to`. */
export interface ListsDelta {
  readonly from: number;
  readonly to: number;
  /** Organisations that are new or changed. */
  readonly set: readonly Organisation[];
  readonly removed: readonly OrganisationId[];
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** Error for a delta that does not apply to the version of the lists. */
export class DeltaError extends Error {
  override readonly name = "DeltaError";
}

/** Returns the difference between two versions of the lists. */
export function diffLists(before: Lists, after: Lists): ListsDelta {
  const oldById = byId(before.organisations.organisations);
  const newById = byId(after.organisations.organisations);
  return {
    from: before.version,
    to: after.version,
    set: after.organisations.organisations
      .filter((organisation) =>
        !isEqual(oldById.get(organisation.id), organisation)
      ),
    removed: before.organisations.organisations
      .map(({ id }) => id)
      .filter((id) => !newById.has(id)),
    use: isEqual(before.use, after.use) ? undefined : after.use,
    availability: isEqual(before.availability, after.availability)
      ? undefined
      : after.availability,
  };
}

/**
 * Returns the lists after a delta, or an error when the delta starts from
 * another version or does not increase it.
 */
export function applyDelta(
  lists: Lists,
  delta: ListsDelta,
): Result<Lists, DeltaError> {
  if (delta.from !== lists.version || delta.to <= delta.from) {
    return err(
      new DeltaError(
        `delta ${delta.from}-${delta.to} not valid at version ${lists.version}`,
      ),
    );
  }
  return ok({
    version: delta.to,
    organisations: {
      organisations: withOrganisations(
        lists.organisations.organisations,
        delta,
      ),
    },
    use: delta.use ?? lists.use,
    availability: delta.availability ?? lists.availability,
  });
}

/** Merges two consecutive deltas into one. */
export function mergeDeltas(first: ListsDelta, second: ListsDelta): ListsDelta {
  const overridden = new Set([
    ...second.removed,
    ...second.set.map(({ id }) => id),
  ]);
  const setBySecond = new Set(second.set.map(({ id }) => id));
  return {
    from: first.from,
    to: second.to,
    set: [...first.set.filter(({ id }) => !overridden.has(id)), ...second.set],
    removed: [
      ...first.removed.filter((id) => !setBySecond.has(id)),
      ...second.removed.filter((id) => !first.removed.includes(id)),
    ],
    use: second.use ?? first.use,
    availability: second.availability ?? first.availability,
  };
}

/** Returns the organisations after a delta, sorted by name. */
function withOrganisations(
  organisations: readonly Organisation[],
  { set, removed }: ListsDelta,
): readonly Organisation[] {
  if (set.length === 0 && removed.length === 0) return organisations;
  const after = byId(organisations);
  removed.forEach((id) => after.delete(id));
  set.forEach((organisation) => after.set(organisation.id, organisation));
  return sortOrganisations([...after.values()]);
}

/** Returns the organisations sorted by name. */
export function sortOrganisations(
  organisations: readonly Organisation[],
): readonly Organisation[] {
  return organisations.toSorted((a, b) =>
    a.id < b.id ? -1 : a.id > b.id ? 1 : 0
  );
}

function byId(
  organisations: readonly Organisation[],
): Map<OrganisationId, Organisation> {
  return new Map(
    organisations.map((organisation) => [organisation.id, organisation]),
  );
}

function isEqual(a: unknown, b: unknown): boolean {
  return a === b || canonicalJson(a) === canonicalJson(b);
}
