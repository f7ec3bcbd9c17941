/**
 * Reads the load reports of a target.
 *
 * @module
 */

import { request } from "undici";
import { z } from "zod";
import { every, timeoutSignal } from "../kernel/mod.ts";

/** Time between two reads, in milliseconds. */
const POLL_MS = 500;
const ANSWER_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** Load report of a target. */
const reportSchema = z.object({
  /** Time since the report was sampled, in milliseconds. */
  ageMs: z.number().nonnegative(),
  cold: z.boolean(),
});

/** A report as far as the gate uses it. */
export type LoadReport = z.infer<typeof reportSchema>;

/** Reads `GET /load` of a target until the signal aborts. */
export function followLoad(
  url: string,
  opts: { onReport: (report: LoadReport) => void; signal: AbortSignal },
): void {
  void every(POLL_MS, async () => {
    const report = await readLoad(url, opts.signal);
    if (report) opts.onReport(report);
  }, opts.signal);
}

/** One report, or undefined when the target gives none in the known form. */
async function readLoad(
  url: string,
  signal: AbortSignal,
): Promise<LoadReport | undefined> {
  const askedAt = performance.now();
  try {
    const res = await request(`${url}/load`, {
      signal: timeoutSignal(ANSWER_TIMEOUT_MS, signal),
    });
    const text = await res.body.text();
    if (res.statusCode !== HTTP_OK) return undefined;
    const report = reportSchema.parse(JSON.parse(text));
    // The time of the exchange counts as age: the report may be that old.
    return { ...report, ageMs: report.ageMs + performance.now() - askedAt };
  } catch {
    // Without reports the gate relies on the calls alone.
    return undefined;
  }
}
