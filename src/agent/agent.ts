/**
 * The agent beside a target: every call to the target passes it.
 *
 * @module
 */

import { err, type Result } from "neverthrow";
import { AsyncQueue, monotonicMs } from "../kernel/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import {
  type CallEvent,
  notRun,
  type Refusal,
  RefusalReason,
  type StageCall,
  type StageResult,
  type Target,
} from "../model/mod.ts";
import type { ListsSync } from "../process/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type {
  AgentApi,
  GossipAnswer,
  GossipQuestion,
  PeerState,
  TargetState,
} from "../wire/mod.ts";
import {
  type AnswerStream,
  CallRunner,
  type RunnerParts,
  type RunSession,
} from "./call_runner.ts";
import type { GateService } from "./gate_service.ts";

/** Time between two heartbeats on an answer stream, in milliseconds. */
export const HEARTBEAT_MS = 500;
const LEAVING_RETRY_MS = 100;
/**
 * Time that a leaving agent goes on to take calls, in milliseconds, so that
 * entries hear of the leaving before they meet a refusal.
 */
const LEAVE_NOTICE_MS = 1_500;
const RETRY_AFTER_MS = 1_000;
/** Longest wait for unwritten records on a planned stop, in milliseconds. */
const RECORD_DRAIN_MS = 5_000;

/** What an agent is made of. */
export interface AgentParts extends RunnerParts {
  readonly name: string;
  readonly target: Target;
  readonly gate: GateService;
  readonly lists: ListsSync;
  readonly log: Logger;
}

/** Serves stage calls for one target. */
export class Agent implements AgentApi {
  readonly #parts: AgentParts;
  readonly #runner: CallRunner;
  readonly #inHand = new Set<Promise<unknown>>();
  #leaving = false;
  #registration: { readonly isSuperseded: boolean } | undefined;

  constructor(parts: AgentParts) {
    this.#parts = parts;
    this.#runner = new CallRunner(parts, () => this.#refusalByLists());
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
    const stream: AnswerStream = { events, chunks: 0 };
    const timer = setInterval(
      () =>
        events.push({
          kind: "heartbeat",
          load: gate.loadFor(call.organisation),
        }),
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
    stream: AnswerStream,
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
    hop: Pick<RunSession, "stream" | "signal" | "traceparent">,
  ): Promise<Result<StageResult, Refusal>> {
    const deadlineAt = monotonicMs() + call.remainingMs;
    this.#parts.lists.notice(call.listsVersion);
    const refusal = this.#refusalBeforeGate(call);
    if (refusal) return err(refusal);
    const permit = await this.#parts.gate.enter(call, hop.signal);
    if (permit.isErr()) return err(permit.error);
    return await this.#runner.run({
      call,
      ...hop,
      permit: permit.value,
      deadlineAt,
    });
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

  #lastEvent(
    call: StageCall,
    { chunks }: AnswerStream,
    outcome: Result<StageResult, Refusal>,
  ): CallEvent {
    const report = {
      load: {
        ...this.#parts.gate.loadFor(call.organisation),
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
