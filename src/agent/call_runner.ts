/**
 * Runs calls that the gate has permitted. Non-idempotent calls run under a
 * claim, so that they run at most once.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  type AsyncQueue,
  monotonicMs,
  sleep,
  timeoutSignal,
  Watchdog,
} from "../kernel/mod.ts";
import { OUTCOME_GRACE_MS } from "../ledger/mod.ts";
import {
  type CallEvent,
  digest,
  type Refusal,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import type { Metrics, Tracing } from "../telemetry/mod.ts";
import type { CacheJournal } from "./cache_journal.ts";
import type { ClaimService } from "./claim_service.ts";
import type { Permit } from "./gate_service.ts";
import {
  claimedAfterDeadline,
  deadlinePassed,
  refusalOf,
  targetCrashed,
} from "./run_refusals.ts";
import type {
  TargetClient,
  TargetFailure,
  TargetResponse,
} from "./target_client.ts";

/**
 * Time without progress after which the target of an idempotent call is
 * reported as silent, in milliseconds. The call goes on.
 */
const TARGET_SILENCE_TIMEOUT_MS = 2_000;
/**
 * Time from a lost connection to the check of the target, in milliseconds: a
 * process that ends closes its connections before its listening socket.
 */
const CRASH_CHECK_DELAY_MS = 20;

/** Dependencies of a {@linkcode CallRunner}. */
export interface RunnerDeps {
  /** Set when the target is a model engine. */
  readonly cache?: CacheJournal;
  readonly claims: ClaimService;
  readonly client: TargetClient;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/** Runs permitted calls at one target. */
export class CallRunner {
  readonly #deps: RunnerDeps;
  readonly #currentRefusal: () => Refusal | undefined;
  /** Wall-clock start of the last call, in milliseconds since the epoch. */
  #lastStartedAt = 0;

  /**
   * `currentRefusal` is checked right before a call is sent; it returns a
   * refusal when the call must not be sent.
   */
  constructor(deps: RunnerDeps, currentRefusal: () => Refusal | undefined) {
    this.#deps = deps;
    this.#currentRefusal = currentRefusal;
    deps.metrics.gauge("last_call_started_at_ms", () => this.#lastStartedAt);
  }

  /** Runs a call and releases its permit. */
  async run(permitted: PermittedCall): Promise<Result<StageResult, Refusal>> {
    try {
      return permitted.call.idempotent
        ? await this.#runAtTarget(permitted)
        : await this.#runClaimed(permitted);
    } finally {
      permitted.permit.release({ kind: "unused" });
    }
  }

  async #runClaimed(
    permitted: PermittedCall,
  ): Promise<Result<StageResult, Refusal>> {
    const { claims } = this.#deps;
    const { call, deadlineAt } = permitted;
    const claimed = await claims.claim(call, randomUUID());
    if (claimed.isErr()) return err(claimed.error);
    const claimOutcome = claimed.value;
    if (claimOutcome.kind === "replay") {
      return ok({
        ...claimOutcome.result,
        callId: call.callId,
        replayed: true,
      });
    }
    if (claimOutcome.kind !== "held") return err(claimOutcome.refusal);
    const outcome = monotonicMs() < deadlineAt
      ? await this.#runAtTarget(permitted)
      : err(claimedAfterDeadline());
    await claims.record(claimOutcome.held, outcome);
    return outcome;
  }

  async #runAtTarget(
    permitted: PermittedCall,
  ): Promise<Result<StageResult, Refusal>> {
    const { call, stream, permit, deadlineAt } = permitted;
    // The lists may have changed, or expired, while the call waited at the gate
    // or for its claim.
    const refusal = this.#currentRefusal();
    if (refusal) return err(refusal);
    this.#lastStartedAt = Date.now();
    const startedAt = monotonicMs();
    const span = this.#deps.tracing.start("agent.target", {
      parent: permitted.traceparent,
      attributes: { call: call.callId, target: call.target },
    });
    this.#deps.cache?.recordCall(call);
    const watchdog = new Watchdog(TARGET_SILENCE_TIMEOUT_MS);
    watchdog.signal.addEventListener("abort", () => {
      stream.isSilent = watchdog.isExpired && call.idempotent;
    });
    const response = await this.#deps.client.run(call, {
      traceparent: span.traceparent,
      signal: this.#runSignal(permitted),
      onText: (text) => {
        watchdog.recordProgress();
        stream.isSilent = false;
        pushText(stream, call, text);
      },
      onProgress: (progress) => permit.reportProgress(progress),
    });
    watchdog.end();
    const serviceMs = monotonicMs() - startedAt;
    const hasCrashed = response.isErr() && !permitted.signal.aborted &&
      await this.#hasCrashed(response.error);
    span.end(response.isErr() ? response.error.reason : undefined);
    return response
      .map((value) => {
        permit.release({ kind: "ok", serviceMs });
        return this.#result(permitted, value, serviceMs);
      })
      .mapErr((failure) => {
        permit.release(
          permitted.signal.aborted && !stream.isSilent
            ? { kind: "abandoned" }
            : { kind: "failed", serviceMs, cold: failure.cold },
        );
        if (hasCrashed) return targetCrashed(failure);
        return monotonicMs() >= deadlineAt && failure.mayHaveRun
          ? deadlinePassed()
          : refusalOf(failure);
      });
  }

  /** True when the target ended while it worked on a call. */
  async #hasCrashed({ mayHaveRun, cold }: TargetFailure): Promise<boolean> {
    const { client, metrics } = this.#deps;
    if (!mayHaveRun || !cold || !client.hasEnded) return false;
    await sleep(CRASH_CHECK_DELAY_MS);
    const hasCrashed = await client.hasEnded();
    if (hasCrashed) metrics.count("target_crashes_total");
    return hasCrashed;
  }

  /**
   * Returns the signal that aborts the exchange with the target. A
   * non-idempotent call continues after its caller has gone, and for a limited
   * time after its deadline, so that its outcome can be recorded.
   */
  #runSignal({ call, signal, deadlineAt }: PermittedCall): AbortSignal {
    const remainingMs = deadlineAt - monotonicMs();
    return call.idempotent
      ? timeoutSignal(remainingMs, signal)
      : timeoutSignal(remainingMs + OUTCOME_GRACE_MS);
  }

  #result(
    { call, permit }: PermittedCall,
    response: TargetResponse,
    serviceMs: number,
  ): StageResult {
    return {
      callId: call.callId,
      stage: call.stage,
      fingerprint: call.fingerprint,
      target: call.target,
      output: response.output,
      digest: digest(response.output ?? null),
      tokens: response.tokens,
      serviceMs,
      queuedMs: permit.queuedMs,
      replayed: false,
    };
  }
}

/** A permitted call in flight. */
export interface PermittedCall {
  readonly call: StageCall;
  readonly stream: ResponseStream;
  readonly signal: AbortSignal;
  readonly permit: Permit;
  /** Deadline of the complete response, in monotonic milliseconds. */
  readonly deadlineAt: number;
  /** W3C trace context of the call's span. */
  readonly traceparent: string;
}

/** Response stream of a call. */
export interface ResponseStream {
  readonly events: AsyncQueue<CallEvent>;
  /** Number of chunks queued so far. */
  chunks: number;
  /** True while the target makes no progress with an idempotent call. */
  isSilent: boolean;
}

/**
 * Queues text. It is merged into a chunk that is still queued, so that a slow
 * reader receives fewer and longer chunks.
 */
function pushText(
  stream: ResponseStream,
  { callId }: StageCall,
  text: string,
): void {
  const seq = stream.chunks;
  const isJoined = stream.events.merge(
    { kind: "chunk", callId, seq, text },
    (last) =>
      last.kind === "chunk" ? { ...last, text: last.text + text } : undefined,
  );
  if (!isJoined) stream.chunks += 1;
}
