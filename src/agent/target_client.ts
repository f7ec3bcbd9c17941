/**
 * Interface through which an agent calls its target.
 *
 * @module
 */

import type { ResultAsync } from "neverthrow";
import type { RefusalReason, StageCall } from "../model/mod.ts";

/** Response of a target. */
export interface TargetResponse {
  /** JSON output. */
  readonly output: unknown;
  /** Number of generated tokens; zero for plain services. */
  readonly tokens: number;
}

/** Failed call to a target. */
export interface TargetFailure {
  /** False when it is certain that the target did not run the call. */
  readonly mayHaveRun: boolean;
  readonly reason: RefusalReason;
  readonly detail: string;
  /** True when the target reports a cold start or may have restarted. */
  readonly cold: boolean;
}

/** Options of one call. */
export interface RunOptions {
  /** Aborts the call and its connection. */
  readonly signal: AbortSignal;
  /** Receives generated text as it arrives. */
  readonly onText: (text: string) => void;
  /**
   * Called when the target shows that it works on the call, and whether it is
   * cold.
   */
  readonly onProgress?: (progress: { cold: boolean }) => void;
  /** W3C trace context of the calling span. */
  readonly traceparent?: string;
}

/** Client of one target. */
export interface TargetClient {
  run(
    call: StageCall,
    opts: RunOptions,
  ): ResultAsync<TargetResponse, TargetFailure>;
  /** True when no process listens at the target's address. */
  hasEnded?(): Promise<boolean>;
  /** Closes all connections, which aborts the calls on them. */
  close(): Promise<void>;
}
