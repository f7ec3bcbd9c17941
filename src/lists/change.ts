/**
 * Changes to the operators' lists as values.
 *
 * @module
 */

import type {
  Availability,
  Lists,
  OrganisationList,
  UseList,
} from "../model/mod.ts";

/** The lists that one change replaces. */
export interface ListsChange {
  readonly organisations?: OrganisationList;
  readonly use?: UseList;
  readonly availability?: Availability;
}

/** Order to take a failure domain or host out of service, or back into it. */
export interface AvailabilityOrder {
  readonly what: "domain" | "host";
  readonly name: string;
  readonly out: boolean;
}

/** Returns the lists after a change, under the next version. */
export function applyChange(before: Lists, change: ListsChange): Lists {
  return {
    version: before.version + 1,
    organisations: change.organisations ?? before.organisations,
    use: change.use ?? before.use,
    availability: change.availability ?? before.availability,
  };
}

/** Returns the availability after an order. */
export function applyOrder(
  before: Availability,
  order: AvailabilityOrder,
): Availability {
  const field = order.what === "domain" ? "domainsOut" : "hostsOut";
  const others = before[field].filter((name) => name !== order.name);
  return { ...before, [field]: order.out ? [...others, order.name] : others };
}

/** True when the domain or host is already in the ordered state. */
export function isInEffect(
  availability: Availability,
  order: AvailabilityOrder,
): boolean {
  const names = order.what === "domain"
    ? availability.domainsOut
    : availability.hostsOut;
  return names.includes(order.name) === order.out;
}
