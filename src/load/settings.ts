/**
 * Settings of the load tool.
 *
 * @module
 */

import { z } from "zod";

/** Schema of the settings of a load run. */
export const loadSettingsSchema = z.strictObject({
  entryUrls: z.array(z.url()).min(1)
    .describe("Base URLs of the entries; requests are sent to them in turn"),
  organisations: z.array(z.strictObject({
    id: z.string().describe("Identifier of the organisation"),
    key: z.string().describe("API key of the organisation"),
    weight: z.number().positive().default(1)
      .describe("Relative share of the requests"),
  })).min(1),
  mix: z.array(z.strictObject({
    pipeline: z.string().describe("Name of the pipeline"),
    weight: z.number().positive().default(1)
      .describe("Relative share of the requests"),
    deadlineMs: z.int().positive().default(4_000)
      .describe("Deadline of each request, in ms"),
    files: z.boolean().default(false)
      .describe(
        "True when the pipeline makes a filing",
      ),
  })).min(1),
  ratePerS: z.number().positive().describe(
    "Mean arrivals per second outside bursts",
  ),
  durationS: z.number().positive().describe("Duration of the run, in s"),
  seed: z.int().default(1).describe("Seed of the random arrivals and choices"),
  streaming: z.boolean().optional()
    .describe("True to request streams and to measure the times of their text"),
  bursts: z.strictObject({
    everyS: z.number().positive().describe(
      "Time between the starts of bursts, in s",
    ),
    lengthS: z.number().positive().describe("Duration of a burst, in s"),
    factor: z.number().min(1)
      .describe("Arrival rate in a burst as a multiple of ratePerS"),
  }).optional().describe("Periodic bursts of arrivals"),
  documents: z.strictObject({
    count: z.int().positive().describe("Number of shared documents"),
    chars: z.int().positive().describe("Length of a document, in characters"),
  }).optional().describe("Documents that requests share as prompt prefixes"),
  repeats: z.strictObject({
    notRun: z.int().nonnegative().default(0)
      .describe("Repeats, with the same key, after a not-run refusal"),
    lost: z.int().nonnegative().default(0)
      .describe("Repeats, with the same key, without a final response"),
  }).optional().describe("Numbers of repeats by a caller within its deadline"),
});

/** Settings of a load run. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
