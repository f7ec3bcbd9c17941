/**
 * The agent beside a target: every call to the target passes it.
 *
 * @module
 */

import { err, ok, type Result, type ResultAsync } from "neverthrow";
import { randomUUID } from "node:crypto";
import { AsyncQueue, monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  type CallEvent,
  digest,
  type Lists,
  notRun,
  outcomeUnknown,
  Proof,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
} from "../model/mod.ts";
import type { PlatformError } from "../platform/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { Logger, Metrics, Tracing } from "../telemetry/mod.ts";
import type { AgentApi, PeerState, TargetState } from "../wire/mod.ts";
import type { ClaimService, HeldClaim } from "./claim_service.ts";
import type { GateService, Permit } from "./gate_service.ts";
import type {
  TargetAnswer,
  TargetClient,
  TargetFailure,
} from "./target_client.ts";

/** Time between two heartbeats on an answer stream, in milliseconds. */
export const HEARTBEAT_MS = 500;
const LEAVING_RETRY_MS = 100;
/**
 * Time that a leaving agent goes on to take calls, in milliseconds, so that
 * entries hear of the leaving before they meet a refusal.
 */
const LEAVE_NOTICE_MS = 1_500;
const RETRY_AFTER_MS = 1_000;

/** What an agent is made of. */
export interface AgentParts {
  readonly name: string;
  readonly target: Target;
  readonly gate: GateService;
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

  constructor(parts: AgentParts) {
    this.#parts = parts;
  }

  peerState(): PeerState {
    const { name, lists } = this.#parts;
    return {
      process: name,
      listsVersion: lists.current.version,
      confirmedAgeMs: lists.confirmedAgeMs,
      ready: this.isReady,
    };
  }

  listsSince(version: number): Lists | null {
    const { current } = this.#parts.lists;
    return current.version > version ? current : null;
  }

  targetState(): TargetState {
    return { target: this.#parts.target, load: this.#parts.gate.load };
  }

  /** True while the agent takes new calls. */
  get isReady(): boolean {
    return !this.#parts.gate.load.leaving && this.#parts.lists.isConfirmed &&
      !this.#isSuperseded;
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
  }

  async *call(
    call: StageCall,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const { gate } = this.#parts;
    const events = new AsyncQueue<CallEvent>();
    const timer = setInterval(
      () => events.push({ kind: "heartbeat", load: gate.load }),
      HEARTBEAT_MS,
    );
    const work = this.#settle(call, events, signal);
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
    events: AsyncQueue<CallEvent>,
    signal: AbortSignal,
  ): Promise<void> {
    const { tracing, metrics } = this.#parts;
    const span = tracing.start("agent.call", {
      parent: call.traceparent,
      attributes: { call: call.callId, target: call.target },
    });
    const outcome = await this.#perform(call, events, signal);
    const failure = outcome.isErr() ? outcome.error.reason : undefined;
    metrics.count("stage_calls_total", {
      stage: call.stage,
      result: failure ?? "done",
    });
    span.end(failure);
    events.push(this.#lastEvent(call, outcome));
  }

  async #perform(
    call: StageCall,
    events: AsyncQueue<CallEvent>,
    signal: AbortSignal,
  ): Promise<Result<StageResult, Refusal>> {
    const refusal = this.#refusalBeforeGate(call);
    if (refusal) return err(refusal);
    const permit = await this.#parts.gate.enter(call, signal);
    if (permit.isErr()) return err(permit.error);
    const session = { call, events, signal, permit: permit.value };
    try {
      return call.idempotent
        ? await this.#run(session)
        : await this.#runClaimed(session);
    } finally {
      permit.value.release({ kind: "unused" });
    }
  }

  #refusalBeforeGate(call: StageCall): Refusal | undefined {
    const { target, lists } = this.#parts;
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
    const { claims, log } = this.#parts;
    const { call } = session;
    const asked = await claims.claim(call, randomUUID());
    if (asked.isErr()) return err(asked.error);
    const { decision, held } = asked.value;
    if (decision.kind === "refuse") return err(decision.refusal);
    if (decision.kind === "replay") {
      return ok({ ...decision.result, callId: call.callId, replayed: true });
    }
    const outcome = await this.#run(session);
    const recorded = await this.#record(held, outcome);
    recorded.mapErr((failure) =>
      log.error("outcome_not_recorded", {
        call: call.callId,
        detail: failure.message,
      })
    );
    return outcome;
  }

  /** Writes the outcome of a claimed call into its record. */
  #record(
    held: HeldClaim,
    outcome: Result<StageResult, Refusal>,
  ): ResultAsync<void, PlatformError> {
    const { claims } = this.#parts;
    if (outcome.isOk()) return claims.done(held, outcome.value);
    return outcome.error.proof === Proof.NotRun
      ? claims.withdraw(held)
      : claims.unknown(held);
  }

  /** Runs a permitted call at the target. */
  async #run(session: Session): Promise<Result<StageResult, Refusal>> {
    const { call, events, permit } = session;
    const startedAt = monotonicMs();
    let seq = 0;
    const answer = await this.#parts.client.run(call, {
      signal: this.#runSignal(session),
      onText: (text) =>
        events.push({ kind: "chunk", callId: call.callId, seq: seq++, text }),
    });
    const serviceMs = monotonicMs() - startedAt;
    return answer
      .map((value) => {
        permit.release({ kind: "ok", serviceMs });
        return this.#result(session, value, serviceMs);
      })
      .mapErr((failure) => {
        permit.release({ kind: "failed", serviceMs, cold: failure.cold });
        return refusalOf(failure);
      });
  }

  /**
   * Signal of the exchange with the target. A non-idempotent call goes on when
   * its caller is gone, so that its outcome can be recorded.
   */
  #runSignal({ call, signal }: Session): AbortSignal {
    return call.idempotent
      ? timeoutSignal(call.remainingMs, signal)
      : timeoutSignal(call.remainingMs);
  }

  #result(
    { call, permit }: Session,
    answer: TargetAnswer,
    serviceMs: number,
  ): StageResult {
    return {
      callId: call.callId,
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
    outcome: Result<StageResult, Refusal>,
  ): CallEvent {
    const report = {
      load: this.#parts.gate.load,
      listsVersion: this.#parts.lists.current.version,
    };
    return outcome.match<CallEvent>(
      (result) => ({ kind: "result", result, ...report }),
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
  readonly events: AsyncQueue<CallEvent>;
  readonly signal: AbortSignal;
  readonly permit: Permit;
}

function refusalOf(failure: TargetFailure): Refusal {
  const { reason, detail } = failure;
  return failure.mayHaveRun
    ? outcomeUnknown(reason, detail, RETRY_AFTER_MS)
    : notRun(reason, detail, RETRY_AFTER_MS);
}
