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
import type { KnownTarget, KnownTargets } from "./known_targets.ts";

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
      refreshedAt: refreshedAt(known.of(target)),
    }))
    .filter(({ refreshedAt }) => now - refreshedAt > PROBE_AFTER_MS)
    .sort((a, b) => a.refreshedAt - b.refreshedAt)
    .slice(0, MAX_PROBES_PER_INTERVAL)
    .map(({ target }) => target);
}

/** Time of the newest report or attempt to get one. */
function refreshedAt({ lastReportAt, lastProbeAt }: KnownTarget): number {
  return Math.max(lastReportAt, lastProbeAt);
}

async function probe(
  target: Target,
  { known, onFailure, signal }: ProbeOptions,
): Promise<void> {
  const probed = known.of(target);
  // A failed probe is retried no sooner than a successful one, but makes no
  // report look fresh.
  probed.lastProbeAt = monotonicMs();
  try {
    const { load } = await probed.client.targetState(signal);
    if (known.find(target.id) === probed) known.recordLoad(target, load);
  } catch {
    onFailure(target);
  }
}
