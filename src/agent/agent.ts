/**
 * The agent beside a target: every call to the target passes through it.
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
import type {
  AgentApi,
  GossipRequest,
  GossipResponse,
  PeerState,
  TargetState,
} from "../wire/mod.ts";
import {
  CallRunner,
  type PermittedCall,
  type ResponseStream,
  type RunnerDeps,
} from "./call_runner.ts";
import type { GateService } from "./gate_service.ts";

/** Time between two heartbeats on a response stream, in milliseconds. */
export const HEARTBEAT_MS = 500;
const LEAVING_RETRY_AFTER_MS = 100;
/**
 * Time for which a leaving agent still accepts calls, in milliseconds. Entries
 * see the target reported as leaving before it refuses calls.
 */
const LEAVE_NOTICE_MS = 1_500;
const RETRY_AFTER_MS = 1_000;
/** Maximum wait for pending records on a planned stop, in milliseconds. */
const RECORD_DRAIN_MS = 5_000;

/** Dependencies of an {@linkcode Agent}. */
export interface AgentDeps extends RunnerDeps {
  readonly target: Target;
  readonly gate: GateService;
  readonly lists: ListsSync;
}

/** Serves stage calls for one target. */
export class Agent implements AgentApi {
  readonly #deps: AgentDeps;
  readonly #runner: CallRunner;
  readonly #inFlight = new Set<Promise<unknown>>();
  #refusesCalls = false;
  #registration: { readonly isSuperseded: boolean } | undefined;

  constructor(deps: AgentDeps) {
    this.#deps = deps;
    this.#runner = new CallRunner(deps, () => this.#refusalByLists());
  }

  peerState(): PeerState {
    return this.#deps.lists.peerState(this.isReady);
  }

  listsSince(version: number): ListsUpdate | null {
    return this.#deps.lists.updateSince(version);
  }

  exchange(request: GossipRequest): GossipResponse {
    return this.#deps.lists.respond(request, this.isReady);
  }

  targetState(): TargetState {
    return { target: this.#deps.target, load: this.#deps.gate.load };
  }

  /** True while the agent accepts new calls. */
  get isReady(): boolean {
    return !this.#deps.gate.load.leaving && this.#deps.lists.isConfirmed &&
      !this.#isSuperseded;
  }

  /** Marks the target as cold; it then has to prove again that it is warm. */
  markTargetCold(): void {
    this.#deps.gate.report({ ageMs: 0, cold: true });
  }

  /** Sets the registration; calls are refused while it is superseded. */
  setRegistration(registration: { readonly isSuperseded: boolean }): void {
    this.#registration = registration;
  }

  get #isSuperseded(): boolean {
    return this.#registration?.isSuperseded === true;
  }

  /** Reports the target as leaving; refuses calls after the notice period. */
  leave(): void {
    this.#deps.gate.leave();
    setTimeout(() => this.#refusesCalls = true, LEAVE_NOTICE_MS).unref();
  }

  /**
   * Refuses new calls and resolves once none is in flight and the pending
   * records are written or have timed out.
   */
  async drain(): Promise<void> {
    this.#refusesCalls = true;
    this.#deps.gate.leave();
    while (this.#inFlight.size > 0) await Promise.allSettled(this.#inFlight);
    await this.#deps.claims.drain(RECORD_DRAIN_MS);
  }

  async *call(
    call: StageCall,
    signal: AbortSignal,
  ): AsyncGenerator<CallEvent> {
    const { gate } = this.#deps;
    const events = new AsyncQueue<CallEvent>();
    const stream: ResponseStream = { events, chunks: 0, isSilent: false };
    const timer = setInterval(
      () =>
        events.push({
          kind: "heartbeat",
          load: gate.loadFor(call.organisation),
          isSilent: stream.isSilent,
        }),
      HEARTBEAT_MS,
    );
    const completion = this.#complete(call, stream, signal);
    this.#inFlight.add(completion);
    void completion.finally(() => {
      this.#inFlight.delete(completion);
      clearInterval(timer);
      events.close();
    });
    yield* events;
  }

  /** Runs the call to its end and queues its last event. */
  async #complete(
    call: StageCall,
    stream: ResponseStream,
    signal: AbortSignal,
  ): Promise<void> {
    const { tracing, metrics } = this.#deps;
    const span = tracing.start("agent.call", {
      parent: call.traceparent,
      attributes: { call: call.callId, target: call.target },
    });
    const outcome = await this.#admitAndRun(
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

  async #admitAndRun(
    call: StageCall,
    context: Pick<PermittedCall, "stream" | "signal" | "traceparent">,
  ): Promise<Result<StageResult, Refusal>> {
    const deadlineAt = monotonicMs() + call.remainingMs;
    this.#deps.lists.observeVersion(call.listsVersion);
    const refusal = this.#refusalBeforeGate(call);
    if (refusal) return err(refusal);
    const permit = await this.#deps.gate.enter(call, context.signal);
    if (permit.isErr()) return err(permit.error);
    return await this.#runner.run({
      call,
      ...context,
      permit: permit.value,
      deadlineAt,
    });
  }

  #refusalBeforeGate(call: StageCall): Refusal | undefined {
    const { target } = this.#deps;
    if (call.target !== target.id) {
      return notRun(RefusalReason.NoTarget, "The call is for another target");
    }
    if (this.#refusesCalls || this.#isSuperseded) {
      return notRun(
        RefusalReason.Leaving,
        "The target leaves",
        LEAVING_RETRY_AFTER_MS,
      );
    }
    return this.#refusalByLists();
  }

  /** Returns a refusal when the lists in force do not allow work. */
  #refusalByLists(): Refusal | undefined {
    const { target, lists } = this.#deps;
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
        LEAVING_RETRY_AFTER_MS,
      );
    }
  }

  #lastEvent(
    call: StageCall,
    { chunks }: ResponseStream,
    outcome: Result<StageResult, Refusal>,
  ): CallEvent {
    const report = {
      load: {
        ...this.#deps.gate.loadFor(call.organisation),
        cache: this.#deps.cache?.changes,
      },
      listsVersion: this.#deps.lists.current.version,
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
