/**
 * Which process stands for a target or an entry name when several claim it.
 *
 * Every registration carries an incarnation that grows with each process that
 * takes a name. A fresh process replaces the one that is registered; a process
 * that finds a higher incarnation under its name yields, so that a paused
 * process which resumes after its host was replaced takes no new work.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Which process wrote a registration. */
export interface Stamp {
  /** Random identifier of the process. */
  readonly instance: string;
  /** Grows with each process that takes the name; zero before the first. */
  readonly incarnation: number;
  /** True once the process stops by plan. */
  readonly leaving: boolean;
}

/** What a process does about its registration. */
export type RegistrationStep =
  | { readonly kind: "keep" }
  | { readonly kind: "write"; readonly stamp: Stamp }
  /** Another process has taken the name; take no new work. */
  | { readonly kind: "yield" };

/** Stamp of a process that has not registered yet. */
export function unregistered(instance: string): Stamp {
  return { instance, incarnation: 0, leaving: false };
}

/** Decides from the process's own stamp and the one that is registered. */
export function decideRegistration(
  own: Stamp,
  found: Stamp | undefined,
): RegistrationStep {
  const step = stepOf(own, found);
  invariant(
    step.kind !== "write" || step.stamp.incarnation >= own.incarnation,
    "incarnation-grows",
    () => `own=${own.incarnation}`,
  );
  return step;
}

function stepOf(own: Stamp, found: Stamp | undefined): RegistrationStep {
  if (!found) return writeAbove(own, own.incarnation);
  if (found.instance === own.instance) {
    return found.leaving === own.leaving
      ? { kind: "keep" }
      : { kind: "write", stamp: { ...found, leaving: own.leaving } };
  }
  const hasNewerHolder = own.incarnation > 0 &&
    found.incarnation > own.incarnation;
  if (hasNewerHolder) return { kind: "yield" };
  return writeAbove(own, Math.max(own.incarnation, found.incarnation));
}

function writeAbove(own: Stamp, incarnation: number): RegistrationStep {
  return { kind: "write", stamp: { ...own, incarnation: incarnation + 1 } };
}
