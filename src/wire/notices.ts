/**
 * Notices that entries exchange with their state: facts that one of them has
 * learned and all have to know. Unknown kinds are ignored, so that kinds may be
 * added later.
 *
 * @module
 */

import { z } from "zod";

/** Maximum number of notices in one message. */
export const MAX_NOTICES = 200;
/** Maximum number of segments in the report of a crash. */
const MAX_REPORT_SEGMENTS = 128;
const MAX_ID_CHARS = 256;

const idSchema = z.string().max(MAX_ID_CHARS);
/** Time since the event, in milliseconds. */
const ageSchema = z.number().nonnegative();

const noticeSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("target-crashed"),
    /** Identifies the start of the target. */
    target: idSchema,
    /**
     * Segments that may be the cause: identifier, depth in the prompt, and time
     * from sending the newest call with it to the crash, in milliseconds.
     */
    suspects: z.array(z.tuple([idSchema, z.number(), ageSchema]))
      .max(MAX_REPORT_SEGMENTS),
    ageMs: ageSchema,
  }),
  /** A target has written an answer on a suspected segment. */
  z.object({
    kind: z.literal("segment-survived"),
    segment: idSchema,
    ageMs: ageSchema,
  }),
  /** A target has named a limit on its requests, or has ended it. */
  z.object({
    kind: z.literal("target-limit"),
    target: idSchema,
    /** Requests a second from all entries together; absent: no limit. */
    perS: z.number().nonnegative().optional(),
    ageMs: ageSchema,
  }),
  /** A target has said that it leaves. */
  z.object({
    kind: z.literal("target-leaving"),
    target: idSchema,
    /** Unix time of its start in milliseconds; absent if not reported. */
    bornMs: z.number().optional(),
    ageMs: ageSchema,
  }),
  /** A request was sent to test whether a segment still crashes targets. */
  z.object({
    kind: z.literal("segment-probed"),
    segment: idSchema,
    ageMs: ageSchema,
  }),
]);

/** One fact. */
export type Notice = z.infer<typeof noticeSchema>;

const cursorSchema = z.object({
  /** Differs after each start of the process that numbered the notices. */
  start: z.string(),
  upTo: z.number(),
});

/** How far the notices of a process are known. */
export type NoticeCursor = z.infer<typeof cursorSchema>;

export const noticeMessageSchema = z.object({
  /** Notices of the sender that the receiver may lack, and up to which. */
  sent: cursorSchema,
  notices: z.array(z.unknown()).max(MAX_NOTICES).optional(),
  /** Notices of the receiver that the sender has. */
  known: cursorSchema.optional(),
});

/** One side of an exchange of notices. */
export type NoticeMessage = z.infer<typeof noticeMessageSchema>;

/** Decodes a notice; undefined when it is malformed or of an unknown kind. */
export function decodeNotice(value: unknown): Notice | undefined {
  const parsed = noticeSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
