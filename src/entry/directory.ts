/**
 * The targets that an entry knows, with their loads and clients.
 *
 * @module
 */

import { every } from "../kernel/mod.ts";
import { serviceable } from "../membership/mod.ts";
import {
  type DomainName,
  type HostId,
  type PoolName,
  type Target,
  type TargetId,
  type TargetLoad,
} from "../model/mod.ts";
import { HostState } from "../platform/mod.ts";
import {
  type ListsSync,
  Members,
  type Platform,
  type TargetRow,
} from "../process/mod.ts";
import { type Candidate, chooseTarget } from "../routing/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { StageRequest } from "./dispatcher.ts";
import { type AgentClient, TrpcAgentClient } from "../wire/mod.ts";

const REFRESH_MS = 2_000;
/** Time for which a replaced client may finish its calls, in milliseconds. */
const RETIRE_MS = 600_000;
/** Time that an unreachable target gets no work, in milliseconds. */
const SUSPECT_MS = 2_000;

interface Known {
  readonly client: AgentClient;
  readonly url: string;
  /** Process that registered the target; another one starts anew. */
  readonly instance?: string;
  load?: TargetLoad;
  outstanding: number;
  suspectedUntil: number;
}

/** What the choice of a target depends on. */
export interface ChoiceRequest {
  /** Targets that were tried already. */
  readonly tried: ReadonlySet<TargetId>;
  /** Input of the stage, for the affinity of shared prompt prefixes. */
  readonly stage: StageRequest;
}

/** What a directory is made of. */
export interface DirectoryOptions {
  readonly platform: Platform;
  readonly lists: ListsSync;
  readonly log: Logger;
  /** Failure domain of the entry. */
  readonly homeDomain: DomainName;
  /** Makes the client of an agent; by default over tRPC. */
  readonly connect?: (target: Target) => AgentClient;
}

/** What an entry knows of the targets. */
export class Directory {
  readonly #known = new Map<TargetId, Known>();
  readonly #platform: Platform;
  readonly #lists: ListsSync;
  readonly #log: Logger;
  readonly #homeDomain: DomainName;
  readonly #connect: (target: Target) => AgentClient;
  readonly #members: Members;
  #leavingHosts: ReadonlySet<HostId> = new Set();

  constructor(opts: DirectoryOptions) {
    this.#platform = opts.platform;
    this.#members = new Members(opts.platform.table);
    this.#lists = opts.lists;
    this.#log = opts.log;
    this.#homeDomain = opts.homeDomain;
    this.#connect = opts.connect ??
      ((target) => new TrpcAgentClient(target.agentUrl));
  }

  /** Follows the registrations and the host list until `signal` aborts. */
  run(signal: AbortSignal): void {
    void every(REFRESH_MS, () => this.#refresh(signal), signal);
  }

  /** Picks a target of a pool for a call, or undefined when there is none. */
  choose(pool: PoolName, call: ChoiceRequest): Target | undefined {
    return chooseTarget(this.#candidates(pool), {
      random: Math.random,
      homeDomain: this.#homeDomain,
      exclude: call.tried,
    });
  }

  /** Targets of a pool that may get new work. */
  #candidates(pool: PoolName): readonly Candidate[] {
    return this.#serviceable()
      .filter((target) => target.pool === pool)
      .map((target) => {
        const { load, outstanding } = this.#entry(target);
        return { target, load, outstanding };
      });
  }

  /** Client of the agent beside a target. */
  client(target: Target): AgentClient {
    return this.#entry(target).client;
  }

  /** Counts a call that starts; the result ends the count. */
  begin(target: Target): () => void {
    const entry = this.#entry(target);
    entry.outstanding += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      entry.outstanding -= 1;
    };
  }

  /** Takes notice of a load report. */
  report(target: Target, load: TargetLoad): void {
    const known = this.#current(target);
    if (known) known.load = load;
  }

  /** Takes notice of a target that could not be reached. */
  suspect(target: Target): void {
    const known = this.#current(target);
    if (known) known.suspectedUntil = Date.now() + SUSPECT_MS;
  }

  #serviceable(): readonly Target[] {
    const now = Date.now();
    const registered = this.#members.targets
      .filter(({ id }) => !this.#known.get(id)?.load?.leaving);
    const suspected = registered
      .filter(({ id }) => (this.#known.get(id)?.suspectedUntil ?? 0) > now)
      .map(({ id }) => id);
    return serviceable({
      registered,
      availability: this.#lists.current.availability,
      leavingHosts: this.#leavingHosts,
      suspected: new Set(suspected),
    });
  }

  /** What is known of a target unless another process has taken it over. */
  #current(target: TargetRow): Known | undefined {
    const found = this.#known.get(target.id);
    const isSame = found?.url === target.agentUrl &&
      found.instance === target.stamp?.instance;
    return isSame ? found : undefined;
  }

  #entry(target: TargetRow): Known {
    const current = this.#current(target);
    if (current) return current;
    const found = this.#known.get(target.id);
    if (found) retire(found);
    const fresh: Known = {
      client: this.#connect(target),
      url: target.agentUrl,
      instance: target.stamp?.instance,
      outstanding: 0,
      suspectedUntil: 0,
    };
    this.#known.set(target.id, fresh);
    return fresh;
  }

  async #refresh(signal: AbortSignal): Promise<void> {
    const { hosts } = this.#platform;
    const [members, hostList] = await Promise.all([
      this.#members.refresh(signal),
      hosts.list(signal),
    ]);
    members.mapErr((err) =>
      this.#log.warn("members_read_failed", { detail: err.message })
    );
    hostList.map((entries) => {
      const leaving = entries.filter(({ state }) =>
        state === HostState.Leaving
      );
      this.#leavingHosts = new Set(leaving.map(({ host }) => host));
    });
  }
}

/** Closes a client once the calls in hand have had time to end. */
function retire({ client }: Known): void {
  setTimeout(() => void client.close(), RETIRE_MS).unref();
}
