/**
 * Differences between two versions of the lists.
 *
 * A delta is small where a change is small: it names the organisations that a
 * change touched and carries the other lists only when they differ.
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

/** What turns the lists of version `from` into those of version `to`. */
export interface ListsDelta {
  readonly from: number;
  readonly to: number;
  /** Organisations that are new or differ. */
  readonly set: readonly Organisation[];
  readonly removed: readonly OrganisationId[];
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** The lists cannot take a delta that starts from another version. */
export class DeltaError extends Error {
  override readonly name = "DeltaError";
}

/** Difference between two versions of the lists. */
export function diffLists(before: Lists, after: Lists): ListsDelta {
  const old = byId(before.organisations.organisations);
  const kept = byId(after.organisations.organisations);
  return {
    from: before.version,
    to: after.version,
    set: after.organisations.organisations
      .filter((organisation) =>
        !isSame(old.get(organisation.id), organisation)
      ),
    removed: before.organisations.organisations
      .map(({ id }) => id)
      .filter((id) => !kept.has(id)),
    use: isSame(before.use, after.use) ? undefined : after.use,
    availability: isSame(before.availability, after.availability)
      ? undefined
      : after.availability,
  };
}

/** Lists after a delta; an error when the delta starts elsewhere. */
export function applyDelta(
  lists: Lists,
  delta: ListsDelta,
): Result<Lists, DeltaError> {
  if (delta.from !== lists.version || delta.to <= delta.from) {
    return err(
      new DeltaError(
        `Delta ${delta.from} to ${delta.to} on version ${lists.version}`,
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

/** One delta in place of two that follow each other. */
export function mergeDeltas(first: ListsDelta, then: ListsDelta): ListsDelta {
  const touched = new Set([
    ...then.removed,
    ...then.set.map(({ id }) => id),
  ]);
  const setAgain = new Set(then.set.map(({ id }) => id));
  return {
    from: first.from,
    to: then.to,
    set: [...first.set.filter(({ id }) => !touched.has(id)), ...then.set],
    removed: [
      ...first.removed.filter((id) => !setAgain.has(id)),
      ...then.removed.filter((id) => !first.removed.includes(id)),
    ],
    use: then.use ?? first.use,
    availability: then.availability ?? first.availability,
  };
}

/** Organisations in the order of their names, with a delta applied. */
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

/** Organisations in the order of their names. */
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

function isSame(a: unknown, b: unknown): boolean {
  return a === b || canonicalJson(a) === canonicalJson(b);
}
