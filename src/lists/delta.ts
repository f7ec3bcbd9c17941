/**
 * Differences between two versions of the lists.
 *
 * A delta is small where a change is small: it names the customers that a
 * change touched and carries the other lists only when they differ.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import {
  type Availability,
  canonicalJson,
  type Customer,
  type CustomerId,
  type Lists,
  type UseList,
} from "../model/mod.ts";

/** What turns the lists of version `from` into those of version `to`. */
export interface ListsDelta {
  readonly from: number;
  readonly to: number;
  /** Customers that are new or differ. */
  readonly set: readonly Customer[];
  readonly removed: readonly CustomerId[];
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** The lists cannot take a delta that starts from another version. */
export class DeltaError extends Error {
  override readonly name = "DeltaError";
}

/** Difference between two versions of the lists. */
export function diffLists(before: Lists, after: Lists): ListsDelta {
  const old = byId(before.customers.customers);
  const kept = byId(after.customers.customers);
  return {
    from: before.version,
    to: after.version,
    set: after.customers.customers
      .filter((customer) => !isSame(old.get(customer.id), customer)),
    removed: before.customers.customers
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
    customers: {
      customers: withCustomers(lists.customers.customers, delta),
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

/** Customers in the order of their names, with a delta applied. */
function withCustomers(
  customers: readonly Customer[],
  { set, removed }: ListsDelta,
): readonly Customer[] {
  if (set.length === 0 && removed.length === 0) return customers;
  const after = byId(customers);
  removed.forEach((id) => after.delete(id));
  set.forEach((customer) => after.set(customer.id, customer));
  return sortCustomers([...after.values()]);
}

/** Customers in the order of their names. */
export function sortCustomers(
  customers: readonly Customer[],
): readonly Customer[] {
  return customers.toSorted((a, b) => a.id < b.id ? -1 : a.id > b.id ? 1 : 0);
}

function byId(customers: readonly Customer[]): Map<CustomerId, Customer> {
  return new Map(customers.map((customer) => [customer.id, customer]));
}

function isSame(a: unknown, b: unknown): boolean {
  return a === b || canonicalJson(a) === canonicalJson(b);
}
