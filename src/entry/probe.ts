/**
 * Requests the load of tracked targets that have no recent load report.
 *
 * Responses to calls carry the load; the probes cover targets that get no work.
 * Their rate is bounded, so that they cost little at any size of the fleet.
 *
 * @module
 */

import { every, monotonicMs } from "../kernel/mod.ts";
import type { Target } from "../model/mod.ts";
import type { KnownTargets } from "./known_targets.ts";

/** Age of a load report from which a target is probed, in milliseconds. */
export const PROBE_AFTER_MS = 10_000;
const PROBE_INTERVAL_MS = 500;
/** Most probes per interval; the oldest reports are refreshed first. */
const MAX_PROBES_PER_INTERVAL = 8;

/** Options of the probes. */
export interface ProbeOptions {
  readonly targets: () => readonly Target[];
  readonly known: KnownTargets;
  readonly onFailure: (target: Target) => void;
  readonly signal: AbortSignal;
}

/** Probes targets without recent load reports until the signal aborts. */
export function probeStaleTargets(opts: ProbeOptions): void {
  void every(PROBE_INTERVAL_MS, async () => {
    await Promise.all(staleTargets(opts).map((target) => probe(target, opts)));
  }, opts.signal);
}

function staleTargets({ targets, known }: ProbeOptions): readonly Target[] {
  const now = monotonicMs();
  return targets()
    .map((target) => ({
      target,
      lastReportAt: known.of(target).lastReportAt,
    }))
    .filter(({ lastReportAt }) => now - lastReportAt > PROBE_AFTER_MS)
    .sort((a, b) => a.lastReportAt - b.lastReportAt)
    .slice(0, MAX_PROBES_PER_INTERVAL)
    .map(({ target }) => target);
}

async function probe(
  target: Target,
  { known, onFailure, signal }: ProbeOptions,
): Promise<void> {
  const probed = known.of(target);
  // Set before the probe, so that a failed one is retried no sooner than a
  // successful one.
  probed.lastReportAt = monotonicMs();
  try {
    const { load } = await probed.client.targetState(signal);
    if (known.find(target.id) === probed) known.recordLoad(target, load);
  } catch {
    onFailure(target);
  }
}
