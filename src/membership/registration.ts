/**
 * Registration of processes under target and entry names, with a rule for
 * several processes that use the same name.
 *
 * Every registration has an incarnation number, which increases with each
 * process that registers the name. A new process replaces the registered one.
 * A registered process that finds a higher incarnation under its name yields,
 * so that a paused process that resumes after its host was replaced accepts no
 * new work.
 *
 * @module
 */

import { invariant } from "../kernel/mod.ts";

/** Identifies the process that wrote a registration. */
export interface Stamp {
  /** Random identifier of the process. */
  readonly instance: string;
  /** Increases with each process that registers; zero before registration. */
  readonly incarnation: number;
  /** True once a planned stop of the process has begun. */
  readonly leaving: boolean;
}

/** Next step of a process for its registration. */
export type RegistrationStep =
  | { readonly kind: "keep" }
  | { readonly kind: "write"; readonly stamp: Stamp }
  /** A newer process has registered the name; accept no new work. */
  | { readonly kind: "yield" };

/** Returns the stamp of a process that has not registered yet. */
export function unregistered(instance: string): Stamp {
  return { instance, incarnation: 0, leaving: false };
}

/** Returns the next step, given the process's own and the stored stamp. */
export function decideRegistration(
  own: Stamp,
  found: Stamp | undefined,
): RegistrationStep {
  const step = nextStep(own, found);
  invariant(
    step.kind !== "write" || step.stamp.incarnation >= own.incarnation,
    "incarnation-grows",
    () => `own=${own.incarnation}`,
  );
  return step;
}

function nextStep(own: Stamp, found: Stamp | undefined): RegistrationStep {
  if (!found) return writeAbove(own, own.incarnation);
  if (found.instance === own.instance) {
    return found.leaving === own.leaving
      ? { kind: "keep" }
      : { kind: "write", stamp: { ...found, leaving: own.leaving } };
  }
  const hasNewerProcess = own.incarnation > 0 &&
    found.incarnation > own.incarnation;
  if (hasNewerProcess) return { kind: "yield" };
  return writeAbove(own, Math.max(own.incarnation, found.incarnation));
}

function writeAbove(own: Stamp, incarnation: number): RegistrationStep {
  return { kind: "write", stamp: { ...own, incarnation: incarnation + 1 } };
}
