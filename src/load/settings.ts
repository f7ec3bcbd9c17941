/**
 * Settings of the load tool.
 *
 * @module
 */

import { z } from "zod";

/** Schema of the settings of a load run. */
export const loadSettingsSchema = z.strictObject({
  entryUrls: z.array(z.url()).min(1)
    .describe("Base URLs of the entries; requests take them in turn"),
  organisations: z.array(z.strictObject({
    id: z.string().describe("Name of the organisation"),
    key: z.string().describe("Key of the organisation"),
    weight: z.number().positive().default(1)
      .describe("Share of the requests"),
  })).min(1),
  mix: z.array(z.strictObject({
    pipeline: z.string().describe("Name of the pipeline"),
    weight: z.number().positive().default(1)
      .describe("Share of the requests"),
    deadlineMs: z.int().positive().default(4_000)
      .describe("Deadline of each request, in ms"),
    files: z.boolean().default(false)
      .describe("True when the pipeline makes a filing"),
  })).min(1),
  ratePerS: z.number().positive().describe("Mean arrivals per second"),
  durationS: z.number().positive().describe("Length of the run, in s"),
  seed: z.int().default(1).describe("Seed of arrivals and choices"),
  streaming: z.boolean().optional()
    .describe("True to ask for streams and to measure tokens"),
  bursts: z.strictObject({
    everyS: z.number().positive().describe("Time between bursts, in s"),
    lengthS: z.number().positive().describe("Length of a burst, in s"),
    factor: z.number().min(1)
      .describe("Arrivals in a burst as a multiple of the mean rate"),
  }).optional().describe("Bursts on top of the mean rate"),
  documents: z.strictObject({
    count: z.int().positive().describe("Number of shared documents"),
    chars: z.int().positive().describe("Length of a document, in characters"),
  }).optional().describe("Documents that requests share as prompt prefixes"),
  repeats: z.strictObject({
    notRun: z.int().nonnegative().default(0)
      .describe("Repeats, with the same key, after not-run with Retry-After"),
    lost: z.int().nonnegative().default(0)
      .describe("Repeats, with the same key, after a lost connection"),
  }).optional().describe("What callers repeat within their deadline"),
});

/** Settings of a load run. */
export type LoadSettings = z.infer<typeof loadSettingsSchema>;
