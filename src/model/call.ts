/**
 * Messages between an entry and the agent of a target.
 *
 * @module
 */

import type {
  CallId,
  IdempotencyKey,
  OrganisationId,
  PipelineName,
  RequestId,
  StageName,
  TargetId,
} from "./ids.ts";
import type { Priority, StageKind } from "./lists.ts";
import type { Refusal } from "./refusal.ts";
import type { TargetLoad } from "./target.ts";

/** Call of one attempt at one stage. */
export interface StageCall {
  readonly callId: CallId;
  readonly requestId: RequestId;
  readonly organisation: OrganisationId;
  readonly pipeline: PipelineName;
  readonly stage: StageName;
  readonly kind: StageKind;
  /** Target of the call; an agent refuses calls for other targets. */
  readonly target: TargetId;
  readonly idempotent: boolean;
  /** Present on every non-idempotent call. */
  readonly idempotencyKey?: IdempotencyKey;
  /**
   * Version of the key's claim row when the call was started, zero when there
   * was no row. The claim is refused at any other version.
   */
  readonly claimVersion?: number;
  /**
   * Digest of the caller's request. A request that repeats an idempotency key
   * must have the same.
   */
  readonly fingerprint: string;
  readonly priority: Priority;
  /** Weight of the organisation's plan. */
  readonly weight: number;
  /** Time left until the deadline of the whole response, in milliseconds. */
  readonly remainingMs: number;
  /** Expected time of the stages after this one, in milliseconds. */
  readonly laterMs?: number;
  /** Version of the lists that the sender uses. */
  readonly listsVersion: number;
  /** W3C trace context of the calling span. */
  readonly traceparent?: string;
  readonly model?: string;
  readonly maxTokens?: number;
  /** JSON input of the stage. */
  readonly input: unknown;
}

/** Result of a stage. */
export interface StageResult {
  readonly callId: CallId;
  readonly stage: StageName;
  /** Fingerprint of the call that produced the result. */
  readonly fingerprint: string;
  readonly target: TargetId;
  /** JSON output of the stage. */
  readonly output: unknown;
  /** Hash of the output; see `digest` in `model/digest.ts`. */
  readonly digest: string;
  /** Tokens generated; zero for plain services. */
  readonly tokens: number;
  /** Time at the target, in milliseconds. */
  readonly serviceMs: number;
  /** Time in the gate's queue, in milliseconds. */
  readonly queuedMs: number;
  /** True when the result was stored by an earlier run. */
  readonly replayed: boolean;
}

/** Event in the response stream of a call; the last two kinds end a stream. */
export type CallEvent =
  | {
    readonly kind: "heartbeat";
    readonly load: TargetLoad;
    /** True while the target makes no progress with an idempotent call. */
    readonly isSilent?: boolean;
  }
  | {
    readonly kind: "chunk";
    readonly callId: CallId;
    /** Position in the stream, from zero. */
    readonly seq: number;
    readonly text: string;
  }
  | {
    readonly kind: "result";
    readonly result: StageResult;
    /** Number of chunks streamed before the result. */
    readonly chunks: number;
    readonly load: TargetLoad;
    readonly listsVersion: number;
  }
  | {
    readonly kind: "refused";
    readonly callId: CallId;
    readonly refusal: Refusal;
    readonly load: TargetLoad;
    readonly listsVersion: number;
  };
