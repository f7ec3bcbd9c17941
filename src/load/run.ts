/**
 * Sends the planned requests and collects their outcomes.
 *
 * @module
 */

import { Agent } from "undici";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { planArrivals } from "./arrivals.ts";
import { type Outcome, sendOne } from "./caller.ts";
import type { LoadSettings } from "./settings.ts";

const MAX_CONNECTIONS_PER_ENTRY = 512;

/** Sends every planned request at its time and resolves with all outcomes. */
export async function runLoad(
  cfg: LoadSettings,
  onOutcome: (outcome: Outcome) => void = () => {},
): Promise<readonly Outcome[]> {
  const dispatcher = new Agent({ connections: MAX_CONNECTIONS_PER_ENTRY });
  const startedAt = monotonicMs();
  const pending: Promise<Outcome>[] = [];
  for (const [i, arrival] of planArrivals(cfg).entries()) {
    await sleep(Math.max(0, startedAt + arrival.atMs - monotonicMs()));
    const outcome = sendOne(arrival, {
      dispatcher,
      entryUrls: cfg.entryUrls,
      firstEntry: i % cfg.entryUrls.length,
      plannedAt: startedAt + arrival.atMs,
      streaming: cfg.streaming,
      repeats: cfg.repeats,
    });
    void outcome.then(onOutcome);
    pending.push(outcome);
  }
  const outcomes = await Promise.all(pending);
  await dispatcher.destroy();
  return outcomes;
}
