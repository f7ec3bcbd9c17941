/**
 * How an agent speaks to its target.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { RefusalReason, StageCall } from "../model/mod.ts";

/** Answer of a target. */
export interface TargetAnswer {
  /** JSON output. */
  readonly output: unknown;
  /** Tokens generated; zero for plain services. */
  readonly tokens: number;
}

/** Failed call to a target. */
export interface TargetFailure {
  /** False when it is certain that the target did not run the call. */
  readonly mayHaveRun: boolean;
  readonly reason: RefusalReason;
  readonly detail: string;
  /** True when the target says that it is in cold start or may have restarted. */
  readonly cold: boolean;
}

/** Options of one run. */
export interface RunOptions {
  /** Abandons the call and its connection. */
  readonly signal: AbortSignal;
  /** Receives generated text as it comes. */
  readonly onText: (text: string) => void;
  /** Receives the first sign that the target works on the call. */
  readonly onSign?: (sign: { cold: boolean }) => void;
  /** W3C trace context of the calling span. */
  readonly traceparent?: string;
}

/** Speaks to one target. */
export interface TargetClient {
  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetAnswer, TargetFailure>;
  /** Abandons every connection. */
  close(): Promise<void>;
}
