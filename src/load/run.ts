/**
 * Sends planned requests and keeps what each caller was told.
 *
 * @module
 */

import { Agent } from "undici";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { planArrivals } from "./arrivals.ts";
import { type Outcome, sendOne } from "./caller.ts";
import type { LoadSettings } from "./settings.ts";

const CONNECTIONS = 512;

/** Sends the whole plan and resolves with every outcome. */
export async function runLoad(
  cfg: LoadSettings,
  onOutcome: (outcome: Outcome) => void = () => {},
): Promise<readonly Outcome[]> {
  const dispatcher = new Agent({ connections: CONNECTIONS });
  const startedAt = monotonicMs();
  const pending: Promise<Outcome>[] = [];
  for (const [i, arrival] of planArrivals(cfg).entries()) {
    await sleep(Math.max(0, startedAt + arrival.atMs - monotonicMs()));
    const sent = sendOne(arrival, {
      dispatcher,
      entryUrls: cfg.entryUrls,
      first: i % cfg.entryUrls.length,
      dueAt: startedAt + arrival.atMs,
      streaming: cfg.streaming,
      repeats: cfg.repeats,
    });
    void sent.then(onOutcome);
    pending.push(sent);
  }
  const outcomes = await Promise.all(pending);
  await dispatcher.destroy();
  return outcomes;
}
