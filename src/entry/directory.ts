/**
 * Directory of the targets that an entry may call, and the choice among them.
 *
 * @module
 */

import { every, monotonicMs, seededRandom } from "../kernel/mod.ts";
import { eligibleTargets } from "../membership/mod.ts";
import {
  type Availability,
  type CacheChange,
  type DomainName,
  type HostId,
  type PoolName,
  promptOf,
  StageKind,
  type Target,
  type TargetId,
  type TargetLoad,
} from "../model/mod.ts";
import {
  HostsSync,
  type ListsSync,
  Members,
  type Platform,
  RegistrationCleaner,
} from "../process/mod.ts";
import {
  type CacheEvent,
  type EntryLocation,
  hashOf,
  prefixKey,
} from "../routing/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { type AgentClient, TrpcAgentClient } from "../wire/mod.ts";
import type { StageRequest } from "./stage_dispatch.ts";
import { KnownTargets } from "./known_targets.ts";
import { type HealthOutcome, PoolRouter } from "./pool_router.ts";
import { probeStaleTargets } from "./probe.ts";

const REFRESH_MS = 2_000;
/** Time for which an unreachable target is avoided, in milliseconds. */
const SUSPECT_MS = 2_000;

/** Request for the choice of a target. */
export interface ChoiceRequest {
  /** Targets of earlier attempts. */
  readonly tried: ReadonlySet<TargetId>;
  /** Stage call; its prompt decides the affinity of shared prefixes. */
  readonly stage: StageRequest;
}

/** Options of a directory. */
export interface DirectoryOptions {
  readonly platform: Platform;
  readonly lists: ListsSync;
  readonly log: Logger;
  /** Name of the entry, which decides the targets that the entry tracks. */
  readonly name?: string;
  /** Failure domain of the entry. */
  readonly localDomain: DomainName;
  /** Seed of the random choices; by default a hash of the name. */
  readonly seed?: number;
  /** Known entries, for balanced subsets; by default the registered ones. */
  readonly entries?: () => readonly EntryLocation[];
  /** Creates the client of an agent; by default over tRPC. */
  readonly connect?: (target: Target) => AgentClient;
}

/** Sources from which the members of the pools are derived. */
interface Membership {
  readonly targets: readonly Target[];
  /** Hosts that get no new work according to the host list. */
  readonly avoidedHosts: ReadonlySet<HostId>;
  readonly entries: readonly EntryLocation[];
  readonly availability: Availability;
}

const NO_TARGETS: ReadonlySet<TargetId> = new Set();

/** Tracks the registered targets and chooses among them. */
export class Directory {
  readonly #opts: DirectoryOptions;
  readonly #known: KnownTargets;
  readonly #members: Members;
  readonly #hosts: HostsSync;
  readonly #self: EntryLocation;
  readonly #random: () => number;
  readonly #routers = new Map<PoolName, PoolRouter>();
  readonly #prefixes = new WeakMap<StageRequest, { readonly key?: string }>();
  #avoidedHosts: ReadonlySet<HostId> = new Set();
  #applied: Membership | undefined;

  constructor(opts: DirectoryOptions) {
    this.#opts = opts;
    this.#members = new Members(opts.platform.table);
    this.#hosts = new HostsSync({ hosts: opts.platform.hosts, log: opts.log });
    this.#known = new KnownTargets(
      opts.connect ?? ((target) => new TrpcAgentClient(target.agentUrl)),
    );
    this.#self = { name: opts.name ?? "", domain: opts.localDomain };
    this.#random = seededRandom(opts.seed ?? hashOf(this.#self.name));
  }

  /**
   * Polls the registrations and the host list, and probes targets without
   * recent load reports, until `signal` aborts.
   */
  run(signal: AbortSignal): void {
    void every(REFRESH_MS, () => this.#refresh(signal), signal);
    probeStaleTargets({
      targets: () => this.tracked,
      known: this.#known,
      onFailure: (target) => this.suspect(target),
      signal,
    });
  }

  /** Removes registrations of lost hosts until `signal` aborts. */
  clean(signal: AbortSignal): void {
    new RegistrationCleaner({
      table: this.#opts.platform.table,
      members: this.#members,
      hosts: this.#hosts,
      log: this.#opts.log,
    }).run(signal);
  }

  /** Targets of all pools whose load and connections this entry keeps. */
  get tracked(): readonly Target[] {
    this.#applyMembership();
    return [...this.#routers.values()].flatMap(({ subset }) => subset);
  }

  /** Chooses a target for a call; undefined when the pool has none. */
  choose(pool: PoolName, call: ChoiceRequest): Target | undefined {
    this.#applyMembership();
    return this.#routers.get(pool)?.choose({
      tried: call.tried,
      prefix: this.#prefixKeyOf(call.stage),
    });
  }

  /** Returns the client of a target's agent. */
  client(target: Target): AgentClient {
    return this.#known.of(target).client;
  }

  /**
   * Counts a call as in flight until the returned function is called with its
   * outcome.
   */
  begin(
    target: Target,
    stage: StageRequest,
  ): (healthOutcome: HealthOutcome) => void {
    const endCall = this.#known.begin(target);
    const prefix = this.#prefixKeyOf(stage);
    return (healthOutcome) => {
      endCall();
      this.#routers.get(target.pool)?.recordOutcome(target.id, {
        healthOutcome,
        prefix,
      });
    };
  }

  /**
   * Records a load report and the cache changes in it. The cache of a target
   * that became cold is empty.
   */
  recordLoad(target: Target, load: TargetLoad): void {
    const wasCold = this.#known.find(target.id)?.load?.cold ?? true;
    this.#known.recordLoad(target, load);
    if (load.cold && !wasCold) {
      this.#routers.get(target.pool)
        ?.applyCacheEvent({ kind: "cleared", target: target.id });
    }
    load.cache?.forEach((change) =>
      this.#routers.get(target.pool)?.applyCacheEvent(
        reportedCacheEvent(target, change),
      )
    );
  }

  /** Records the lists version on which an agent acts. */
  observeLists(version: number): void {
    this.#opts.lists.observeVersion(version);
  }

  /** Marks a target that could not be reached; it is avoided for a while. */
  suspect(target: Target): void {
    this.#known.suspect(target, monotonicMs() + SUSPECT_MS);
  }

  /** Names of the registered entries. */
  get entryNames(): readonly string[] {
    return this.#members.entries.map(({ name }) => name);
  }

  /** Passes changed membership on to the routers. */
  #applyMembership(): void {
    const next = this.#membership();
    if (this.#applied && isSameMembership(this.#applied, next)) return;
    this.#applied = next;
    const members = eligibleTargets({
      registered: next.targets,
      availability: next.availability,
      avoidedHosts: next.avoidedHosts,
      // PoolRouter avoids suspected targets, but may choose them as a last
      // resort.
      suspected: NO_TARGETS,
    });
    const pools = new Set(
      [...members.map(({ pool }) => pool), ...this.#routers.keys()],
    );
    pools.forEach((pool) =>
      this.#router(pool).setMembership(
        members.filter((target) => target.pool === pool),
        next.entries,
      )
    );
    this.#known.evictExcept(new Set(members.map(({ id }) => id)));
  }

  #membership(): Membership {
    return {
      targets: this.#members.targets,
      avoidedHosts: this.#avoidedHosts,
      entries: this.#opts.entries?.() ?? this.#members.entries,
      availability: this.#opts.lists.current.availability,
    };
  }

  /** Returns the prefix key of a stage; cached, as every attempt needs it. */
  #prefixKeyOf(stage: StageRequest): string | undefined {
    if (stage.kind !== StageKind.Generate) return undefined;
    const found = this.#prefixes.get(stage);
    if (found) return found.key;
    const key = prefixKey(promptOf(stage));
    this.#prefixes.set(stage, { key });
    return key;
  }

  #router(pool: PoolName): PoolRouter {
    const found = this.#routers.get(pool);
    if (found) return found;
    const fresh = new PoolRouter({
      self: this.#self,
      known: this.#known,
      random: this.#random,
    });
    this.#routers.set(pool, fresh);
    return fresh;
  }

  async #refresh(signal: AbortSignal): Promise<void> {
    const [members] = await Promise.all([
      this.#members.refresh(signal),
      this.#hosts.refresh(signal),
    ]);
    members.mapErr((err) =>
      this.#opts.log.warn("members_read_failed", { detail: err.message })
    );
    const inUse = new Set(this.#members.targets.map(({ host }) => host));
    const { avoided } = this.#hosts.assess(inUse);
    if (!isSameSet(avoided, this.#avoidedHosts)) this.#avoidedHosts = avoided;
  }
}

function isSameMembership(a: Membership, b: Membership): boolean {
  return a.targets === b.targets && a.avoidedHosts === b.avoidedHosts &&
    a.entries === b.entries && a.availability === b.availability;
}

function isSameSet<T>(a: ReadonlySet<T>, b: ReadonlySet<T>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item));
}

/** Returns the cache event for a change that a target's agent reported. */
function reportedCacheEvent({ id }: Target, change: CacheChange): CacheEvent {
  const { seq, key, held } = change;
  return {
    kind: "reported",
    target: id,
    seq,
    added: held ? [key] : [],
    removed: held ? [] : [key],
  };
}
