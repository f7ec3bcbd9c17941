/**
 * Runs calls that the gate has permitted, under a claim where a second run
 * would do harm.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  type AsyncQueue,
  monotonicMs,
  timeoutSignal,
  Watchdog,
} from "../kernel/mod.ts";
import { LATE_OUTCOME_MS } from "../ledger/mod.ts";
import {
  type CallEvent,
  digest,
  type Refusal,
  type StageCall,
  type StageResult,
} from "../model/mod.ts";
import type { Metrics, Tracing } from "../telemetry/mod.ts";
import type { CacheJournal } from "./cache_follower.ts";
import type { ClaimService } from "./claim_service.ts";
import type { Permit } from "./gate_service.ts";
import {
  claimedLate,
  deadlinePassed,
  refusalOf,
  targetSilent,
} from "./run_refusals.ts";
import type { TargetAnswer, TargetClient } from "./target_client.ts";

/** Longest silence of a target during an idempotent call, in milliseconds. */
const TARGET_SILENCE_MS = 2_000;

/** What running calls needs. */
export interface RunnerParts {
  /** Present beside a model engine. */
  readonly cache?: CacheJournal;
  readonly claims: ClaimService;
  readonly client: TargetClient;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

/** Runs permitted calls at one target. */
export class CallRunner {
  readonly #parts: RunnerParts;
  readonly #refusal: () => Refusal | undefined;
  /** Wall-clock time at which the last call started, in milliseconds. */
  #lastStartAt = 0;

  /** `refusal` tells, right before a call is sent, why it must not be. */
  constructor(parts: RunnerParts, refusal: () => Refusal | undefined) {
    this.#parts = parts;
    this.#refusal = refusal;
    parts.metrics.gauge("last_call_started_at_ms", () => this.#lastStartAt);
  }

  /** Runs a call and releases its permit. */
  async run(session: RunSession): Promise<Result<StageResult, Refusal>> {
    try {
      return session.call.idempotent
        ? await this.#run(session)
        : await this.#runClaimed(session);
    } finally {
      session.permit.release({ kind: "unused" });
    }
  }

  async #runClaimed(
    session: RunSession,
  ): Promise<Result<StageResult, Refusal>> {
    const { claims } = this.#parts;
    const { call, deadlineAt } = session;
    const asked = await claims.claim(call, randomUUID());
    if (asked.isErr()) return err(asked.error);
    const answer = asked.value;
    if (answer.kind === "replay") {
      return ok({ ...answer.result, callId: call.callId, replayed: true });
    }
    if (answer.kind !== "held") return err(answer.refusal);
    const outcome = monotonicMs() < deadlineAt
      ? await this.#run(session)
      : err(claimedLate());
    await claims.record(answer.held, outcome);
    return outcome;
  }

  /** Runs a permitted call at the target. */
  async #run(session: RunSession): Promise<Result<StageResult, Refusal>> {
    const { call, stream, permit, deadlineAt } = session;
    // The wait at the gate or for the claim may have outlived the lists.
    const refusal = this.#refusal();
    if (refusal) return err(refusal);
    this.#lastStartAt = Date.now();
    const startedAt = monotonicMs();
    const span = this.#parts.tracing.start("agent.target", {
      parent: session.traceparent,
      attributes: { call: call.callId, target: call.target },
    });
    this.#parts.cache?.noteCall(call);
    const watch = new Watchdog(silenceMs(call));
    const answer = await this.#parts.client.run(call, {
      traceparent: span.traceparent,
      signal: this.#runSignal(session, watch),
      onText: (text) => {
        watch.heard();
        pushText(stream, call, text);
      },
      onSign: (sign) => permit.sign(sign),
    });
    watch.end();
    const serviceMs = monotonicMs() - startedAt;
    span.end(answer.isErr() ? answer.error.reason : undefined);
    return answer
      .map((value) => {
        permit.release({ kind: "ok", serviceMs });
        return this.#result(session, value, serviceMs);
      })
      .mapErr((failure) => {
        permit.release(
          session.signal.aborted
            ? { kind: "abandoned" }
            : { kind: "failed", serviceMs, cold: failure.cold },
        );
        if (watch.isExpired) return targetSilent();
        return monotonicMs() >= deadlineAt && failure.mayHaveRun
          ? deadlinePassed()
          : refusalOf(failure);
      });
  }

  /**
   * Signal of the exchange with the target. A non-idempotent call goes on when
   * its caller is gone and for a time after its deadline, so that its outcome
   * can be recorded.
   */
  #runSignal(
    { call, signal, deadlineAt }: RunSession,
    watch: Watchdog,
  ): AbortSignal {
    const remainingMs = deadlineAt - monotonicMs();
    return call.idempotent
      ? timeoutSignal(remainingMs, signal, watch.signal)
      : timeoutSignal(remainingMs + LATE_OUTCOME_MS, watch.signal);
  }

  #result(
    { call, permit }: RunSession,
    answer: TargetAnswer,
    serviceMs: number,
  ): StageResult {
    return {
      callId: call.callId,
      stage: call.stage,
      fingerprint: call.fingerprint,
      target: call.target,
      output: answer.output,
      digest: digest(answer.output ?? null),
      tokens: answer.tokens,
      serviceMs,
      queuedMs: permit.queuedMs,
      replayed: false,
    };
  }
}

/** One permitted call in hand. */
export interface RunSession {
  readonly call: StageCall;
  readonly stream: AnswerStream;
  readonly signal: AbortSignal;
  readonly permit: Permit;
  /** Monotonic time at which the whole answer is due, in milliseconds. */
  readonly deadlineAt: number;
  /** W3C trace context of the call's span. */
  readonly traceparent: string;
}

/** Answer stream of a call. */
export interface AnswerStream {
  readonly events: AsyncQueue<CallEvent>;
  /** Chunks that were streamed so far. */
  chunks: number;
}

/** Longest silence of the target during a call, in milliseconds. */
function silenceMs(call: StageCall): number {
  return call.idempotent ? TARGET_SILENCE_MS : call.remainingMs +
    LATE_OUTCOME_MS;
}

/** Queues text; a reader that lags gets it in fewer and longer chunks. */
function pushText(
  stream: AnswerStream,
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
