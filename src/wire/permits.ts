/**
 * Messages by which an entry asks another one for permits of requests to a
 * target that limits them. Members may be added later: unknown ones are ignored.
 *
 * @module
 */

import { z } from "zod";

export const permitSchema = z.object({
  /** Identifies the target. */
  target: z.string(),
  /** Requests a second that the target takes from all entries. */
  perS: z.number().nonnegative(),
  /** Time since the target named that limit, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** True when another entry has passed the request on. */
  isForwarded: z.boolean(),
});

/** Request for a permit. */
export type PermitRequest = z.infer<typeof permitSchema>;

export const permitAnswerSchema = z.object({
  isGranted: z.boolean(),
  /** After a denial, the time until the next permit, in milliseconds. */
  waitMs: z.number().nonnegative(),
});

/** Answer to a request for a permit. */
export type PermitAnswer = z.infer<typeof permitAnswerSchema>;
