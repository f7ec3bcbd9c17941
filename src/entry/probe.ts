/**
 * Asks followed targets for their load when nothing was heard of them.
 *
 * Load usually rides on answers; the probes cover targets that get no work,
 * slowly enough to cost little at any size of the fleet.
 *
 * @module
 */

import { every, monotonicMs } from "../kernel/mod.ts";
import type { Target } from "../model/mod.ts";
import type { KnownTargets } from "./known_targets.ts";

/** Silence after which a target is probed, in milliseconds. */
export const PROBE_AFTER_MS = 10_000;
const TICK_MS = 500;
/** Probes of one tick; the longest silent come first. */
const MAX_PROBES = 8;

/** What the probes work on. */
export interface ProbeOptions {
  readonly targets: () => readonly Target[];
  readonly known: KnownTargets;
  readonly onFailure: (target: Target) => void;
  readonly signal: AbortSignal;
}

/** Probes silent targets until the signal aborts. */
export function probeSilent(opts: ProbeOptions): void {
  void every(TICK_MS, async () => {
    await Promise.all(silentTargets(opts).map((one) => probe(one, opts)));
  }, opts.signal);
}

function silentTargets({ targets, known }: ProbeOptions): readonly Target[] {
  const now = monotonicMs();
  return targets()
    .map((target) => ({ target, heardAt: known.of(target).heardAt }))
    .filter(({ heardAt }) => now - heardAt > PROBE_AFTER_MS)
    .sort((a, b) => a.heardAt - b.heardAt)
    .slice(0, MAX_PROBES)
    .map(({ target }) => target);
}

async function probe(
  target: Target,
  { known, onFailure, signal }: ProbeOptions,
): Promise<void> {
  const asked = known.of(target);
  // A failed probe is repeated after the same time as a good one.
  asked.heardAt = monotonicMs();
  try {
    const { load } = await asked.client.targetState(signal);
    if (known.find(target.id) === asked) known.report(target, load);
  } catch {
    onFailure(target);
  }
}
