/**
 * Differences between lists as lines of text for operators.
 *
 * @module
 */

import { canonicalJson, type Lists } from "../model/mod.ts";
import { diffLists } from "./delta.ts";

/** Returns a line for each difference: `+` new, `-` removed, `~` changed. */
export function describeDiff(before: Lists, after: Lists): readonly string[] {
  const delta = diffLists(before, after);
  const oldIds = new Set(
    before.organisations.organisations.map(({ id }) => id),
  );
  return [
    ...delta.set.map(({ id, plan }) =>
      `${oldIds.has(id) ? "~" : "+"} organisation ${id} plan=${plan}`
    ),
    ...delta.removed.map((id) => `- organisation ${id}`),
    ...namedChanges("plan", before.use.plans, after.use.plans),
    ...namedChanges("pipeline", before.use.pipelines, after.use.pipelines),
    ...availabilityChanges(
      "domain",
      before.availability.domainsOut,
      after.availability.domainsOut,
    ),
    ...availabilityChanges(
      "host",
      before.availability.hostsOut,
      after.availability.hostsOut,
    ),
  ];
}

function namedChanges(
  label: string,
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): string[] {
  const oldByName = new Map(
    before.map((one) => [one.name, canonicalJson(one)]),
  );
  const newNames = new Set(after.map(({ name }) => name));
  return [
    ...after
      .filter((one) => oldByName.get(one.name) !== canonicalJson(one))
      .map(({ name }) => `${oldByName.has(name) ? "~" : "+"} ${label} ${name}`),
    ...before.filter(({ name }) => !newNames.has(name))
      .map(({ name }) => `- ${label} ${name}`),
  ];
}

function availabilityChanges(
  label: string,
  before: readonly string[],
  after: readonly string[],
): string[] {
  return [
    ...after.filter((name) => !before.includes(name))
      .map((name) => `~ ${label} ${name} out`),
    ...before.filter((name) => !after.includes(name))
      .map((name) => `~ ${label} ${name} in`),
  ];
}
