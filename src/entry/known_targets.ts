/**
 * What an entry remembers of each target: its client, its newest load report
 * and the calls in hand.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import type { Target, TargetId, TargetLoad } from "../model/mod.ts";
import type { TargetRow } from "../process/mod.ts";
import type { AgentClient } from "../wire/mod.ts";

/** One remembered target. Times are monotonic, in milliseconds. */
export interface KnownTarget {
  readonly client: AgentClient;
  readonly url: string;
  /** Process that registered the target; another one starts anew. */
  readonly instance?: string;
  load?: TargetLoad;
  /** Time of the newest report, or of the first mention. */
  heardAt: number;
  /** Calls that this entry has in hand at the target. */
  outstanding: number;
  /** Calls begun since the newest report. */
  begunSince: number;
  suspectedUntil: number;
}

/** The remembered targets. */
export class KnownTargets {
  readonly #known = new Map<TargetId, KnownTarget>();
  readonly #connect: (target: Target) => AgentClient;

  constructor(connect: (target: Target) => AgentClient) {
    this.#connect = connect;
  }

  /** What is known of a target, if it was mentioned before. */
  find(id: TargetId): KnownTarget | undefined {
    return this.#known.get(id);
  }

  /** What is known of a target; a target that has moved starts anew. */
  of(target: Target): KnownTarget {
    const current = this.#current(target);
    if (current) return current;
    const found = this.#known.get(target.id);
    if (found) retire(found);
    const fresh: KnownTarget = {
      client: this.#connect(target),
      url: target.agentUrl,
      instance: instanceOf(target),
      heardAt: monotonicMs(),
      outstanding: 0,
      begunSince: 0,
      suspectedUntil: 0,
    };
    this.#known.set(target.id, fresh);
    return fresh;
  }

  /** Counts a call that starts; the result ends the count. */
  begin(target: Target): () => void {
    const known = this.of(target);
    known.outstanding += 1;
    known.begunSince += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      known.outstanding -= 1;
    };
  }

  /** Takes notice of a load report; late ones of a replaced agent are dropped. */
  report(target: Target, load: TargetLoad): void {
    const known = this.#current(target);
    if (!known) return;
    known.load = load;
    known.heardAt = monotonicMs();
    known.begunSince = 0;
  }

  /** Takes notice of an agent that could not be reached. */
  suspect(target: Target, until: number): void {
    const known = this.#current(target);
    if (known) known.suspectedUntil = until;
  }

  /** What is known of a target unless another process has taken it over. */
  #current(target: Target): KnownTarget | undefined {
    const found = this.#known.get(target.id);
    const isSame = found?.url === target.agentUrl &&
      found.instance === instanceOf(target);
    return isSame ? found : undefined;
  }

  /** Forgets targets that are not followed any more and have no calls. */
  forgetAllBut(followed: ReadonlySet<TargetId>): void {
    [...this.#known]
      .filter(([id, { outstanding }]) => !followed.has(id) && outstanding === 0)
      .forEach(([id, known]) => {
        this.#known.delete(id);
        retire(known);
      });
  }
}

function instanceOf(target: TargetRow): string | undefined {
  return target.stamp?.instance;
}

/** Time for which a replaced client may finish its calls, in milliseconds. */
const RETIRE_MS = 600_000;

function retire({ client, outstanding }: KnownTarget): void {
  if (outstanding === 0) {
    void client.close();
    return;
  }
  setTimeout(() => void client.close(), RETIRE_MS).unref();
}
