/**
 * Messages by which an operator asks an entry where it would send a request
 * now, and why. Members may be added later: unknown ones are ignored.
 *
 * @module
 */

import { z } from "zod";
import { Closure, TargetObstacle } from "../serving/mod.ts";

/** Most targets that one answer lists. */
export const MAX_EXPLAINED_TARGETS = 600;

const MAX_TEXT_CHARS = 16_384;
const MAX_PROMPT_PARTS = 1_024;

const textSchema = z.string().max(MAX_TEXT_CHARS);

export const explainSchema = z.object({
  hostname: textSchema,
  /** Path and query. */
  path: textSchema,
  /** Key of the caller. It is never part of an answer or a log line. */
  key: textSchema.optional(),
  /** Identifier of the request, which determines its pool. */
  id: textSchema.optional(),
  /** Names of the segments of the prompt, the shared ones first. */
  promptParts: z.array(textSchema).max(MAX_PROMPT_PARTS).default([]),
  /** Lengths of these segments in tokens, as far as known. */
  promptPartTokens: z.array(z.number().nonnegative()).max(MAX_PROMPT_PARTS)
    .optional(),
  tokens: z.object({
    prompt: z.number().nonnegative(),
    output: z.number().nonnegative(),
  }).optional(),
  /** Attempt that began the stream which the request takes up. */
  resumes: textSchema.optional(),
});

/** Request whose route is to be explained. */
export type ExplainRequest = z.input<typeof explainSchema>;
/** The same as an entry receives it. */
export type ExplainedRequest = z.output<typeof explainSchema>;

const targetSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  build: z.string().optional(),
  /** Place in the order of the choice, from 1; absent beyond the first ones. */
  rank: z.number().optional(),
  /** Why no request is sent to it, by the state of the fleet. */
  obstacle: z.enum(TargetObstacle).optional(),
  /** True when only targets of another build may be chosen. */
  isOtherBuild: z.boolean(),
  /** True when a rollout keeps the request from its build at this moment. */
  isHeldByRollout: z.boolean().optional(),
  /** Why it is not open; empty for targets with an obstacle. */
  closures: z.array(z.enum(Closure)),
  /** Time until it takes requests again after a limit or a pause, in ms. */
  waitMs: z.number().optional(),
  /** True when each request needs a permit under the target's limit. */
  isLimited: z.boolean(),
  isCold: z.boolean(),
  /** Age of what the store last said of it, in milliseconds. */
  rowAgeMs: z.number(),
  /** Load by which it is chosen; absent when it may not be chosen. */
  load: z.object({
    own: z.number(),
    reported: z.number(),
    slots: z.number(),
    weight: z.number(),
    failureShare: z.number(),
    /** Age of the target's last report, in milliseconds; absent: none. */
    reportAgeMs: z.number().optional(),
    /** Expected time to the first event, in ms; absent if counts decide. */
    expectedMs: z.number().optional(),
    /** What targets are compared by then, in milliseconds. */
    costMs: z.number().optional(),
  }).optional(),
});

const poolSchema = z.object({
  pool: z.string(),
  /** Share of the route's requests that use the pool. */
  share: z.number(),
  /** Target that would be chosen; absent when none is open. */
  chosen: z.string().optional(),
  /** Targets that a request may get instead, by chance. */
  alternatives: z.array(z.string()),
  /** True when all open targets are ejected, and one of them is chosen. */
  isEjectedFallback: z.boolean(),
  /** Time until a target takes requests again, in ms; absent: not known. */
  reopensInMs: z.number().optional(),
  /** Retries that this process may send to the pool now. */
  retriesLeft: z.number(),
  targets: z.array(targetSchema),
  /** Targets that are left out, to bound the answer. */
  omitted: z.number(),
});

const explanationSchema = z.object({
  gateway: z.string(),
  catalogVersion: z.number(),
  /** Age of the last response of the store, in ms; absent: none so far. */
  storeAgeMs: z.number().optional(),
  /** Age of the list of targets, in ms; absent: never read. */
  targetsAgeMs: z.number().optional(),
  isReady: z.boolean(),
  /** Why this process would refuse the request before it chooses a target. */
  refusal: z.string().optional(),
  route: z.object({
    name: z.string(),
    hostname: z.string(),
    pathPrefix: z.string(),
    kind: z.string(),
    isPublic: z.boolean(),
    timeoutMs: z.number(),
    latencyGoalMs: z.number(),
    maxAttempts: z.number(),
  }),
  organisation: z.string().optional(),
  /** Priority among the requests of the route's stages; 0 is most urgent. */
  priority: z.number(),
  /** Share of the route's requests that are smaller; absent: no tokens given. */
  sizeRank: z.number().optional(),
  /** Present when the request takes a stream up. */
  stream: z.object({
    /** False when this process would have to ask others for the origin. */
    isKnown: z.boolean(),
    pool: z.string().optional(),
    build: z.string().optional(),
  }).optional(),
  /** Present when a segment of the prompt is in quarantine. */
  quarantine: z.object({
    segment: z.string(),
    crashes: z.number(),
    /** Time until this process may send a probe, in milliseconds. */
    probeInMs: z.number(),
  }).optional(),
  /** Present for routes with stages. */
  stages: z.object({
    group: z.string(),
    pools: z.array(z.string()),
    shares: z.array(z.object({
      index: z.number(),
      owner: z.string(),
      isSelf: z.boolean(),
      /** Wait expected there by this process, in milliseconds. */
      waitMs: z.number(),
    })),
  }).optional(),
  pools: z.array(poolSchema),
});

/** Where a request would go now, and why. */
export type RouteExplanation = z.infer<typeof explanationSchema>;
/** What one of the pools of the route would do. */
export type PoolExplanation = z.infer<typeof poolSchema>;
/** What speaks for and against one target. */
export type TargetExplanation = z.infer<typeof targetSchema>;

export const explainAnswerSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("explained"),
    explanation: explanationSchema,
  }),
  /** No route, organisation or pool for the request. */
  z.object({ kind: z.literal("rejected"), reason: z.string() }),
]);

/** Answer of an entry. */
export type ExplainAnswer = z.infer<typeof explainAnswerSchema>;
