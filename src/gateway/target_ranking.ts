/**
 * Order in which a choice of targets would take them, found by making the choice
 * again without those that it took before. Pure: the choice decides itself.
 *
 * @module
 */

import type { Random } from "../kernel/mod.ts";
import type { TargetInspection } from "./target_tracker.ts";

/** Targets of which the order is determined; no request tries as many. */
const MAX_RANKED = 16;
/**
 * Choices by which it is seen whether chance decides. Of two equal targets both
 * are seen but for one case in 2^32.
 */
const SAMPLES = 32;

/** Outcome of a choice, and what it would be next. */
export interface TargetRanking {
  /** Identifiers of the targets in the order of the choice. */
  readonly order: readonly string[];
  /** Targets that the first choice may take instead of the first of these. */
  readonly alternatives: readonly string[];
}

/** Returns the order of a choice whose chance decisions follow `random`. */
export function rankTargets(
  { choose }: Pick<TargetInspection, "choose">,
  random: Random,
): TargetRanking {
  const order: string[] = [];
  while (order.length < MAX_RANKED) {
    const next = choose(new Set(order), random);
    if (!next) break;
    order.push(next.id);
  }
  const [first] = order;
  const sampled = Array.from(
    { length: first === undefined ? 0 : SAMPLES },
    () => choose(new Set(), random)?.id,
  );
  const others = sampled.flatMap((id) =>
    id === undefined || id === first ? [] : [id]
  );
  return { order, alternatives: [...new Set(others)].sort() };
}
