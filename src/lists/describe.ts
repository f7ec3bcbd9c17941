/**
 * Differences between lists as lines for operators.
 *
 * @module
 */

import { canonicalJson, type Lists } from "../model/mod.ts";
import { diffLists } from "./delta.ts";

/** One line for each thing that differs: `+` new, `-` gone, `~` changed. */
export function describeDiff(before: Lists, after: Lists): readonly string[] {
  const delta = diffLists(before, after);
  const known = new Set(before.organisations.organisations.map(({ id }) => id));
  return [
    ...delta.set.map(({ id, plan }) =>
      `${known.has(id) ? "~" : "+"} organisation ${id} plan=${plan}`
    ),
    ...delta.removed.map((id) => `- organisation ${id}`),
    ...named("plan", before.use.plans, after.use.plans),
    ...named("pipeline", before.use.pipelines, after.use.pipelines),
    ...orders(
      "domain",
      before.availability.domainsOut,
      after.availability.domainsOut,
    ),
    ...orders(
      "host",
      before.availability.hostsOut,
      after.availability.hostsOut,
    ),
  ];
}

function named(
  what: string,
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): string[] {
  const old = new Map(before.map((one) => [one.name, canonicalJson(one)]));
  const kept = new Set(after.map(({ name }) => name));
  return [
    ...after
      .filter((one) => old.get(one.name) !== canonicalJson(one))
      .map(({ name }) => `${old.has(name) ? "~" : "+"} ${what} ${name}`),
    ...before.filter(({ name }) => !kept.has(name))
      .map(({ name }) => `- ${what} ${name}`),
  ];
}

function orders(
  what: string,
  before: readonly string[],
  after: readonly string[],
): string[] {
  return [
    ...after.filter((name) => !before.includes(name))
      .map((name) => `~ ${what} ${name} out`),
    ...before.filter((name) => !after.includes(name))
      .map((name) => `~ ${what} ${name} in`),
  ];
}
