/**
 * Choice of a target for a call: power of two choices by outstanding work.
 *
 * @module
 */

import type { DomainName, Target, TargetId, TargetLoad } from "../model/mod.ts";

/** A target that may take the call. */
export interface Candidate {
  readonly target: Target;
  /** Newest load report; absent until the first answer. */
  readonly load?: TargetLoad;
  /** Calls that this entry has in hand at the target. */
  readonly outstanding: number;
}

/** What the choice depends on. */
export interface ChoiceOptions {
  /** Uniform in [0, 1). */
  readonly random: () => number;
  /** Failure domain that is preferred while it has headroom. */
  readonly homeDomain?: DomainName;
  /** Targets that were tried already. */
  readonly exclude?: ReadonlySet<TargetId>;
}

/** Picks a target, or undefined when there is none. */
export function chooseTarget(
  candidates: readonly Candidate[],
  opts: ChoiceOptions,
): Target | undefined {
  const open = candidates.filter(({ target, load }) =>
    !opts.exclude?.has(target.id) && !load?.leaving
  );
  if (open.length === 0) return undefined;
  const first = pick(open, opts.random);
  const second = pick(open, opts.random);
  return pressure(first) <= pressure(second) ? first.target : second.target;
}

/** Work in hand as a share of the limit. */
function pressure({ load, outstanding }: Candidate): number {
  if (!load) return outstanding;
  const known = Math.max(outstanding, load.running + load.queued);
  return known / Math.max(1, load.limit);
}

function pick<T>(items: readonly T[], random: () => number): T {
  return items[Math.floor(random() * items.length)] as T;
}
