/**
 * State that an entry keeps for each target: the client of its agent, the
 * newest load report and the calls in flight.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Target, TargetId, TargetLoad } from "../model/mod.ts";
import type { TargetRow } from "../process/mod.ts";
import type { AgentClient } from "../wire/mod.ts";

/** State of one target. Times are in monotonic milliseconds. */
export interface KnownTarget {
  readonly client: AgentClient;
  readonly url: string;
  /** Process that registered the target; a new process gets new state. */
  readonly instance?: string;
  load?: TargetLoad;
  /** Time of the newest load report, initially of the creation. */
  lastReportAt: number;
  /** Time of the newest probe, whether it succeeded or not. */
  lastProbeAt: number;
  /** Calls of this entry that are in flight at the target. */
  outstanding: number;
  /** Calls started since the newest load report. */
  startedSinceReport: number;
  /** End of the time in which the target counts as unreachable. */
  suspectedUntil: number;
}

/** State of the targets by identifier. */
export class KnownTargets {
  readonly #known = new Map<TargetId, KnownTarget>();
  readonly #connect: (target: Target) => AgentClient;

  constructor(connect: (target: Target) => AgentClient) {
    this.#connect = connect;
  }

  /** Returns the state of a target, if there is any. */
  find(id: TargetId): KnownTarget | undefined {
    return this.#known.get(id);
  }

  /** Returns the state of a target; a target that has moved gets new state. */
  of(target: Target): KnownTarget {
    const current = this.#current(target);
    if (current) return current;
    const found = this.#known.get(target.id);
    if (found) closeClient(found);
    const fresh: KnownTarget = {
      client: this.#connect(target),
      url: target.agentUrl,
      instance: instanceOf(target),
      lastReportAt: monotonicMs(),
      lastProbeAt: 0,
      outstanding: 0,
      startedSinceReport: 0,
      suspectedUntil: 0,
    };
    this.#known.set(target.id, fresh);
    return fresh;
  }

  /** Counts a call as in flight until the returned function is called. */
  begin(target: Target): () => void {
    const known = this.of(target);
    known.outstanding += 1;
    known.startedSinceReport += 1;
    let hasEnded = false;
    return () => {
      if (hasEnded) return;
      hasEnded = true;
      known.outstanding -= 1;
    };
  }

  /** Records a load report; discards late reports of a replaced agent. */
  recordLoad(target: Target, load: TargetLoad): void {
    const known = this.#current(target);
    if (!known) return;
    known.load = load;
    known.lastReportAt = monotonicMs();
    known.startedSinceReport = 0;
  }

  /** Marks a target as unreachable until a monotonic time in milliseconds. */
  suspect(target: Target, until: number): void {
    const known = this.#current(target);
    if (known) known.suspectedUntil = until;
  }

  /** Returns the state of a target unless its address or process changed. */
  #current(target: Target): KnownTarget | undefined {
    const found = this.#known.get(target.id);
    const isCurrent = found?.url === target.agentUrl &&
      found.instance === instanceOf(target);
    return isCurrent ? found : undefined;
  }

  /** Evicts targets that are not listed and have no calls in flight. */
  evictExcept(listed: ReadonlySet<TargetId>): void {
    [...this.#known]
      .filter(([id, { outstanding }]) => !listed.has(id) && outstanding === 0)
      .forEach(([id, known]) => {
        this.#known.delete(id);
        closeClient(known);
      });
  }
}

function instanceOf(target: TargetRow): string | undefined {
  return target.stamp?.instance;
}

/** Time that a replaced client has to finish its calls, in milliseconds. */
const CLIENT_CLOSE_DELAY_MS = 600_000;

function closeClient({ client, outstanding }: KnownTarget): void {
  if (outstanding === 0) {
    void client.close();
    return;
  }
  setTimeout(() => void client.close(), CLIENT_CLOSE_DELAY_MS).unref();
}
