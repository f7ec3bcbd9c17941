/**
 * Changes of the operators' lists, as explicit objects.
 *
 * @module
 */

import type {
  Availability,
  Lists,
  OrganisationList,
  UseList,
} from "../model/mod.ts";

/** Parts of the lists that one change replaces. */
export interface ListsChange {
  readonly organisations?: OrganisationList;
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** An order on the availability of one failure domain or host. */
export interface AvailabilityOrder {
  readonly what: "domain" | "host";
  readonly name: string;
  readonly out: boolean;
}

/** The lists after a change, under the next version. */
export function applyChange(before: Lists, change: ListsChange): Lists {
  return {
    version: before.version + 1,
    organisations: change.organisations ?? before.organisations,
    use: change.use ?? before.use,
    availability: change.availability ?? before.availability,
  };
}

/** Availability after an order. */
export function applyOrder(
  before: Availability,
  order: AvailabilityOrder,
): Availability {
  const field = order.what === "domain" ? "domainsOut" : "hostsOut";
  const others = before[field].filter((name) => name !== order.name);
  return { ...before, [field]: order.out ? [...others, order.name] : others };
}

/** True when the order's domain or host is already as ordered. */
export function isInEffect(
  availability: Availability,
  order: AvailabilityOrder,
): boolean {
  const names = order.what === "domain"
    ? availability.domainsOut
    : availability.hostsOut;
  return names.includes(order.name) === order.out;
}
