/**
 * Polls the load reports of a target.
 *
 * @module
 */

import { request } from "undici";
import { z } from "zod";
import { every, timeoutSignal } from "../kernel/mod.ts";
import { REPORT_DISPATCHER } from "./target_http.ts";

/** Time between two polls, in milliseconds. */
const POLL_MS = 500;
const RESPONSE_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

const reportSchema = z.object({
  /** Time since the report was sampled, in milliseconds. */
  ageMs: z.number().nonnegative(),
  cold: z.boolean(),
});

/** The part of a load report that the gate uses. */
export type LoadReport = z.infer<typeof reportSchema>;

/** Polls `GET /load` of a target until the signal aborts. */
export function pollLoad(
  url: string,
  opts: { onReport: (report: LoadReport) => void; signal: AbortSignal },
): void {
  void every(POLL_MS, async () => {
    const report = await readLoad(url, opts.signal);
    if (report) opts.onReport(report);
  }, opts.signal);
}

/** Reads one report; undefined when the target returns no valid one. */
async function readLoad(
  url: string,
  signal: AbortSignal,
): Promise<LoadReport | undefined> {
  const requestedAt = performance.now();
  try {
    const res = await request(`${url}/load`, {
      dispatcher: REPORT_DISPATCHER,
      signal: timeoutSignal(RESPONSE_TIMEOUT_MS, signal),
    });
    const text = await res.body.text();
    if (res.statusCode !== HTTP_OK) return undefined;
    const report = reportSchema.parse(JSON.parse(text));
    // The time of the exchange is added to the age, since the report may have
    // been sampled at its start.
    return { ...report, ageMs: report.ageMs + performance.now() - requestedAt };
  } catch {
    // Without reports the gate relies on the outcomes of the calls alone.
    return undefined;
  }
}
