/**
 * Validation schemas of the messages that processes receive from each other.
 *
 * @module
 */

import { z } from "zod";
import type { ListsUpdate } from "../lists/mod.ts";
import { Priority, StageKind } from "../model/mod.ts";
import { noticeMessageSchema } from "./notices.ts";

/** Schema of a stage call. */
export const stageCallSchema = z.object({
  callId: z.string().min(1),
  requestId: z.string().min(1),
  organisation: z.string().min(1),
  pipeline: z.string().min(1),
  stage: z.string().min(1),
  kind: z.enum(StageKind),
  target: z.string().min(1),
  idempotent: z.boolean(),
  idempotencyKey: z.string().min(1).optional(),
  claimVersion: z.number().int().nonnegative().optional(),
  fingerprint: z.string().min(1),
  priority: z.enum(Priority),
  weight: z.number().positive(),
  remainingMs: z.number(),
  laterMs: z.number().nonnegative().optional(),
  listsVersion: z.number().int().nonnegative(),
  traceparent: z.string().optional(),
  model: z.string().optional(),
  maxTokens: z.number().int().positive().optional(),
  input: z.unknown(),
}).refine(
  (call) => call.idempotent || call.idempotencyKey !== undefined,
  { message: "A non-idempotent call needs an idempotency key" },
);

/** Schema of a request for the changes since a version of the lists. */
export const listsSinceSchema = z.object({
  version: z.number().int().nonnegative(),
});

const peerInfoSchema = z.object({
  name: z.string().min(1),
  domain: z.string().min(1),
  url: z.url(),
});

/** Schema of a gossip request between peers. */
export const gossipSchema = z.object({
  from: peerInfoSchema.optional(),
  version: z.number().int().nonnegative(),
  offer: z.custom<ListsUpdate>(isListsUpdate).optional(),
  notices: noticeMessageSchema.optional(),
});

function isListsUpdate(value: unknown): boolean {
  const kind = (value as { kind?: unknown } | null)?.kind;
  return kind === "delta" || kind === "lists";
}
