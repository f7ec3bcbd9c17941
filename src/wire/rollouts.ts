/**
 * Messages by which entries report how the builds of a pool serve while an order
 * to move the pool is in force. Members may be added later: unknown ones are
 * ignored.
 *
 * @module
 */

import { z } from "zod";
import { RolloutPhase } from "../serving/mod.ts";

/** Most counts of one report. */
export const MAX_ROLLOUT_COUNTS = 256;

const phaseSchema = z.enum(RolloutPhase);
const countSchema = z.number().nonnegative();
/** Alternating steps of the scale of times and numbers of requests. */
const stepsSchema = z.array(countSchema).max(256);

/**
 * Route, what the times measure, target of the new build or an empty text for
 * all other targets, failures, successes by time, and requests that have not
 * ended by the time since they were sent.
 */
const countsSchema = z.tuple([
  z.string(),
  z.enum(["whole", "first", "pace"]),
  z.string(),
  countSchema,
  stepsSchema,
  stepsSchema,
]);

export const rolloutReportSchema = z.object({
  /** Name of the sender. */
  from: z.string(),
  pool: z.string(),
  /** Number of the version of the order's row. */
  order: z.number(),
  to: z.string(),
  /** Phase that the sender acts on. */
  phase: phaseSchema,
  /** True when the sender's own counts show that the build is bad. */
  isBad: z.boolean().optional(),
  /** True while the sender hears from the store. */
  hasStore: z.boolean(),
  /** Requests of the sender in flight at other builds. */
  openElsewhere: countSchema,
  /** False when counts that the receiver already has are left out. */
  isWhole: z.boolean(),
  /** Cumulative counts since the order. */
  counts: z.array(countsSchema).max(MAX_ROLLOUT_COUNTS),
});

/** Counts of one process. */
export type RolloutReport = z.infer<typeof rolloutReportSchema>;

export const rolloutAnswerSchema = z.object({
  /** Phase that the receiver knows; absent if it does not know the order. */
  phase: phaseSchema.optional(),
  /** True when the receiver lacks the counts that were left out. */
  needsWhole: z.boolean().optional(),
  /** True when the receiver leaves the decision to an entry with the store. */
  isDeclined: z.boolean().optional(),
});

/** Counts of one kind in a report. */
export type SentCounts = RolloutReport["counts"][number];

/** Answer to a report. */
export type RolloutAnswer = z.infer<typeof rolloutAnswerSchema>;
