/**
 * The agent beside a target: every call to the target passes it.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import {
  AsyncQueue,
  monotonicMs,
  timeoutSignal,
  Watchdog,
} from "../kernel/mod.ts";
import { LATE_OUTCOME_MS } from "../ledger/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import {
  type CallEvent,
  digest,
  notRun,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { Logger, Metrics, Tracing } from "../telemetry/mod.ts";
import type {
  AgentApi,
  GossipAnswer,
  GossipQuestion,
  PeerState,
  TargetState,
} from "../wire/mod.ts";
import type { CacheJournal } from "./cache_follower.ts";
import type { ClaimService } from "./claim_service.ts";
import type { GateService, Permit } from "./gate_service.ts";
import {
  claimedLate,
  deadlinePassed,
  refusalOf,
  targetSilent,
} from "./run_refusals.ts";
import type { TargetAnswer, TargetClient } from "./target_client.ts";

/** Time between two heartbeats on an answer stream, in milliseconds. */
export const HEARTBEAT_MS = 500;
const LEAVING_RETRY_MS = 100;
/**
 * Time that a leaving agent goes on to take calls, in milliseconds, so that
 * entries hear of the leaving before they meet a refusal.
 */
const LEAVE_NOTICE_MS = 1_500;
const RETRY_AFTER_MS = 1_000;
/** Longest silence of a target during an idempotent call, in milliseconds. */
const TARGET_SILENCE_MS = 2_000;
/** Longest wait for unwritten records on a planned stop, in milliseconds. */
const RECORD_DRAIN_MS = 5_000;

/** What an agent is made of. */
export interface AgentParts {
  readonly name: string;
  readonly target: Target;
  readonly gate: GateService;
  /** Present beside a model engine. */
  readonly cache?: CacheJournal;
  readonly claims: ClaimService;
  readonly client: TargetClient;
  readonly lists: ListsSync;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  readonly log: Logger;
}

/** Serves stage calls for one target. */
export class Agent implements AgentApi {
  readonly #parts: AgentParts;
  readonly #inHand = new Set<Promise<unknown>>();
  #leaving = false;
  #registration: { readonly isSuperseded: boolean } | undefined;

  /** Wall-clock time at which the last call started, in milliseconds. */
  #lastStartAt = 0;

  constructor(parts: AgentParts) {
    this.#parts = parts;
    parts.metrics.gauge("last_call_started_at_ms", () => this.#lastStartAt);
  }

  peerState(): PeerState {
    return this.#parts.lists.peerState(this.isReady);
  }

  listsSince(version: number): ListsUpdate | null {
    return this.#parts.lists.since(version);
  }

  exchange(question: GossipQuestion): GossipAnswer {
    return this.#parts.lists.answer(question, this.isReady);
  }

  targetState(): TargetState {
    return { target: this.#parts.target, load: this.#parts.gate.load };
  }

  /** True while the agent takes new calls. */
  get isReady(): boolean {
    return !this.#parts.gate.load.leaving && this.#parts.lists.isConfirmed &&
      !this.#isSuperseded;
  }

  /** Takes notice that the target has to prove itself again. */
  targetTurnedCold(): void {
    this.#parts.gate.report({ ageMs: 0, cold: true });
  }

  /** Takes no calls while the registration is another agent's. */
  follow(registration: { readonly isSuperseded: boolean }): void {
    this.#registration = registration;
  }

  get #isSuperseded(): boolean {
    return this.#registration?.isSuperseded === true;
  }

  /** Reports the target as leaving; calls are refused after the notice. */
  leave(): void {
    this.#parts.gate.leave();
    setTimeout(() => this.#leaving = true, LEAVE_NOTICE_MS).unref();
  }

  /** Stops taking calls and resolves once none is in hand. */
  async drain(): Promise<void> {
    this.#leaving = true;
    this.#parts.gate.leave();
    while (this.#inHand.size > 0) await Promise.allSettled(this.#inHand);
    await this.#parts.claims.drain(RECORD_DRAIN_MS);
  }

  async *call(
    call: StageCall,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const { gate } = this.#parts;
    const events = new AsyncQueue<CallEvent>();
    const stream: Stream = { events, chunks: 0 };
    const timer = setInterval(
      () =>
        events.push({ kind: "heartbeat", load: gate.loadFor(call.customer) }),
      HEARTBEAT_MS,
    );
    const work = this.#settle(call, stream, signal);
    this.#inHand.add(work);
    void work.finally(() => {
      this.#inHand.delete(work);
      clearInterval(timer);
      events.close();
    });
    yield* events;
  }

  /** Runs the call and queues its last event. */
  async #settle(
    call: StageCall,
    stream: Stream,
    signal: AbortSignal,
  ): Promise<void> {
    const { tracing, metrics } = this.#parts;
    const span = tracing.start("agent.call", {
      parent: call.traceparent,
      attributes: { call: call.callId, target: call.target },
    });
    const outcome = await this.#perform(
      call,
      { stream, signal, traceparent: span.traceparent },
    );
    const failure = outcome.isErr() ? outcome.error.reason : undefined;
    metrics.count("stage_calls_total", {
      stage: call.stage,
      result: failure ?? "done",
    });
    span.end(failure);
    stream.events.push(this.#lastEvent(call, stream, outcome));
  }

  async #perform(
    call: StageCall,
    hop: Pick<Session, "stream" | "signal" | "traceparent">,
  ): Promise<Result<StageResult, Refusal>> {
    const deadlineAt = monotonicMs() + call.remainingMs;
    this.#parts.lists.notice(call.listsVersion);
    const refusal = this.#refusalBeforeGate(call);
    if (refusal) return err(refusal);
    const permit = await this.#parts.gate.enter(call, hop.signal);
    if (permit.isErr()) return err(permit.error);
    const session: Session = {
      call,
      ...hop,
      permit: permit.value,
      deadlineAt,
    };
    try {
      return call.idempotent
        ? await this.#run(session)
        : await this.#runClaimed(session);
    } finally {
      permit.value.release({ kind: "unused" });
    }
  }

  #refusalBeforeGate(call: StageCall): Refusal | undefined {
    const { target } = this.#parts;
    if (call.target !== target.id) {
      return notRun(RefusalReason.NoTarget, "The call is for another target");
    }
    if (this.#leaving || this.#isSuperseded) {
      return notRun(
        RefusalReason.Leaving,
        "The target leaves",
        LEAVING_RETRY_MS,
      );
    }
    return this.#refusalByLists();
  }

  /** Refusal of work that the lists in force do not allow. */
  #refusalByLists(): Refusal | undefined {
    const { target, lists } = this.#parts;
    if (!lists.isConfirmed) {
      return notRun(
        RefusalReason.NotConfirmed,
        "The agent's configuration is not confirmed",
        RETRY_AFTER_MS,
      );
    }
    const { domainsOut, hostsOut } = lists.current.availability;
    if (domainsOut.includes(target.domain) || hostsOut.includes(target.host)) {
      return notRun(
        RefusalReason.DomainOut,
        "The target is out of service",
        LEAVING_RETRY_MS,
      );
    }
  }

  async #runClaimed(session: Session): Promise<Result<StageResult, Refusal>> {
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
  async #run(session: Session): Promise<Result<StageResult, Refusal>> {
    const { call, stream, permit, deadlineAt } = session;
    // The wait at the gate or for the claim may have outlived the lists.
    const refusal = this.#refusalByLists();
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
    { call, signal, deadlineAt }: Session,
    watch: Watchdog,
  ): AbortSignal {
    const remainingMs = deadlineAt - monotonicMs();
    return call.idempotent
      ? timeoutSignal(remainingMs, signal, watch.signal)
      : timeoutSignal(remainingMs + LATE_OUTCOME_MS, watch.signal);
  }

  #result(
    { call, permit }: Session,
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

  #lastEvent(
    call: StageCall,
    { chunks }: Stream,
    outcome: Result<StageResult, Refusal>,
  ): CallEvent {
    const report = {
      load: {
        ...this.#parts.gate.loadFor(call.customer),
        cache: this.#parts.cache?.changes,
      },
      listsVersion: this.#parts.lists.current.version,
    };
    return outcome.match<CallEvent>(
      (result) => ({ kind: "result", result, chunks, ...report }),
      (refusal) => ({
        kind: "refused",
        callId: call.callId,
        refusal,
        ...report,
      }),
    );
  }
}

/** One call in hand. */
interface Session {
  readonly call: StageCall;
  readonly stream: Stream;
  readonly signal: AbortSignal;
  readonly permit: Permit;
  /** Monotonic time at which the whole answer is due, in milliseconds. */
  readonly deadlineAt: number;
  /** W3C trace context of the call's span. */
  readonly traceparent: string;
}

/** Answer stream of a call. */
interface Stream {
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
function pushText(stream: Stream, { callId }: StageCall, text: string): void {
  const seq = stream.chunks;
  const isJoined = stream.events.merge(
    { kind: "chunk", callId, seq, text },
    (last) =>
      last.kind === "chunk" ? { ...last, text: last.text + text } : undefined,
  );
  if (!isJoined) stream.chunks += 1;
}
