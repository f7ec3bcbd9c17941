/**
 * Messages by which entries share the origins of streams. Members may be added
 * later: unknown ones are ignored.
 *
 * @module
 */

import { z } from "zod";

/** Maximum number of records in one call. */
export const MAX_BATCH_RECORDS = 500;

const originSchema = z.object({
  pool: z.string(),
  /** Absent when the target reports no build. */
  build: z.string().optional(),
});

const sentOriginSchema = originSchema.extend({
  /** Identifier of the stream. */
  stream: z.string(),
  /** Time until the record expires, in milliseconds. */
  leftMs: z.number(),
});

/** Origin of a stream in a message. */
export type SentOrigin = z.infer<typeof sentOriginSchema>;

export const sentOriginsSchema = z.array(sentOriginSchema)
  .max(MAX_BATCH_RECORDS);

export const keepSchema = z.object({
  from: z.string(),
  records: sentOriginsSchema,
});

/** Origins that a peer is asked to keep. */
export type OriginBatch = z.infer<typeof keepSchema>;

export const keepAnswerSchema = z.object({
  /** Differs after each start of the peer, which then holds no records. */
  start: z.string(),
  /** True when the peer is stopping and is not to be relied on. */
  isLeaving: z.boolean(),
});

/** Acknowledgement of a batch. */
export type OriginReceipt = z.infer<typeof keepAnswerSchema>;

const storedOriginSchema = originSchema.extend({
  /** Identifier of the stream. */
  stream: z.string(),
});

export const recordSchema = z.object({
  from: z.string(),
  records: z.array(storedOriginSchema).max(MAX_BATCH_RECORDS),
});

/** Origins that a peer is asked to write to the store. */
export type RecordBatch = z.infer<typeof recordSchema>;

export const recordAnswerSchema = z.object({
  /** True when the store has all of them. */
  isRecorded: z.boolean(),
});

/** Outcome of such a write. */
export type RecordReceipt = z.infer<typeof recordAnswerSchema>;

export const findSchema = z.object({
  stream: z.string(),
  pool: z.string(),
  /** Route of the stream; peers of older builds do not name it. */
  route: z.object({ hostname: z.string(), pathPrefix: z.string() }).optional(),
  /** True when the peer is to read the store before it answers. */
  readsStore: z.boolean().default(false),
});

/** Question for the origin of a stream of a pool. */
export type OriginQuery = z.input<typeof findSchema>;

export const findAnswerSchema = z.object({
  /** Absent when the peer does not know the stream. */
  origin: originSchema.optional(),
  /** Builds that the pool has had; null for targets that report none. */
  builds: z.array(z.string().nullable()),
  /** Pools that may have begun the stream, if its route was named. */
  pools: z.array(z.string()).default([]),
  /** False when the peer may not know all versions of the route. */
  arePoolsSure: z.boolean().default(false),
  /**
   * True when the peer records the origins of streams in the store before their
   * callers see them, unless they are the default ones.
   */
  recordsOrigins: z.boolean().default(false),
  /** True when the peer has read the store after the question. */
  hasReadStore: z.boolean().default(false),
});

/** What a peer knows of a stream and its pool. */
export type OriginAnswer = z.infer<typeof findAnswerSchema>;

/** Procedures by which entries share the origins of streams. */
export interface OriginApi {
  keepOrigins(batch: OriginBatch): OriginReceipt;
  recordOrigins(batch: RecordBatch): Promise<RecordReceipt>;
  findOrigin(query: OriginQuery): Promise<OriginAnswer>;
}
