/**
 * The targets that an entry may send work to, and the choice among them.
 *
 * @module
 */

import { every, monotonicMs, seededRandom } from "../kernel/mod.ts";
import { serviceable } from "../membership/mod.ts";
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
  Cleaner,
  HostsSync,
  type ListsSync,
  Members,
  type Platform,
} from "../process/mod.ts";
import {
  type CacheEvent,
  type EntryPlace,
  hashOf,
  prefixKey,
} from "../routing/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import { type AgentClient, TrpcAgentClient } from "../wire/mod.ts";
import type { StageRequest } from "./stage_dispatch.ts";
import { KnownTargets } from "./known_targets.ts";
import { type CallVerdict, PoolRouter } from "./pool_router.ts";
import { probeSilent } from "./probe.ts";

const REFRESH_MS = 2_000;
/** Time that an unreachable target gets no work, in milliseconds. */
const SUSPECT_MS = 2_000;

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
  /** Name of the entry; it decides which targets the entry follows. */
  readonly name?: string;
  /** Failure domain of the entry. */
  readonly homeDomain: DomainName;
  /** Seed of the random draws; by default it follows from the name. */
  readonly seed?: number;
  /** Entries that are known, for balanced subsets. */
  readonly entries?: () => readonly EntryPlace[];
  /** Makes the client of an agent; by default over tRPC. */
  readonly connect?: (target: Target) => AgentClient;
}

/** What the members of the pools follow from. */
interface Membership {
  readonly targets: readonly Target[];
  /** Hosts that get no new work by the host list. */
  readonly avoidedHosts: ReadonlySet<HostId>;
  readonly entries: readonly EntryPlace[];
  readonly availability: Availability;
}

const NOBODY: ReadonlySet<TargetId> = new Set();

/** What an entry knows of the targets. */
export class Directory {
  readonly #opts: DirectoryOptions;
  readonly #known: KnownTargets;
  readonly #members: Members;
  readonly #hosts: HostsSync;
  readonly #self: EntryPlace;
  readonly #random: () => number;
  readonly #routers = new Map<PoolName, PoolRouter>();
  readonly #prefixes = new WeakMap<StageRequest, { readonly key?: string }>();
  #avoidedHosts: ReadonlySet<HostId> = new Set();
  #followed: Membership | undefined;

  constructor(opts: DirectoryOptions) {
    this.#opts = opts;
    this.#members = new Members(opts.platform.table);
    this.#hosts = new HostsSync({ hosts: opts.platform.hosts, log: opts.log });
    this.#known = new KnownTargets(
      opts.connect ?? ((target) => new TrpcAgentClient(target.agentUrl)),
    );
    this.#self = { name: opts.name ?? "", domain: opts.homeDomain };
    this.#random = seededRandom(opts.seed ?? hashOf(this.#self.name));
  }

  /** Follows the registrations and the host list until `signal` aborts. */
  run(signal: AbortSignal): void {
    void every(REFRESH_MS, () => this.#refresh(signal), signal);
    probeSilent({
      targets: () => this.followed,
      known: this.#known,
      onFailure: (target) => this.suspect(target),
      signal,
    });
  }

  /** Removes registrations of lost hosts until `signal` aborts. */
  clean(signal: AbortSignal): void {
    new Cleaner({
      table: this.#opts.platform.table,
      members: this.#members,
      hosts: this.#hosts,
      log: this.#opts.log,
    }).run(signal);
  }

  /** Targets of all pools that this entry keeps load and connections of. */
  get followed(): readonly Target[] {
    this.#follow();
    return [...this.#routers.values()].flatMap(({ subset }) => subset);
  }

  /** Picks a target of a pool for a call, or undefined when there is none. */
  choose(pool: PoolName, call: ChoiceRequest): Target | undefined {
    this.#follow();
    return this.#routers.get(pool)?.choose({
      tried: call.tried,
      prefix: this.#prefixOf(call.stage),
    });
  }

  /** Client of the agent beside a target. */
  client(target: Target): AgentClient {
    return this.#known.of(target).client;
  }

  /** Counts a call that starts; the result ends the count. */
  begin(target: Target, stage: StageRequest): (verdict: CallVerdict) => void {
    const end = this.#known.begin(target);
    const prefix = this.#prefixOf(stage);
    return (verdict) => {
      end();
      this.#routers.get(target.pool)?.ended(target.id, { verdict, prefix });
    };
  }

  /** Takes notice of a load report. */
  report(target: Target, load: TargetLoad): void {
    const wasCold = this.#known.find(target.id)?.load?.cold ?? true;
    this.#known.report(target, load);
    if (load.cold && !wasCold) {
      this.#routers.get(target.pool)
        ?.cacheEvent({ kind: "cleared", target: target.id });
    }
    load.cache?.forEach((change) =>
      this.#routers.get(target.pool)?.cacheEvent(reportedBy(target, change))
    );
  }

  /** Takes notice of the lists version on which an agent acts. */
  noticeLists(version: number): void {
    this.#opts.lists.notice(version);
  }

  /** Takes notice of a target that could not be reached. */
  suspect(target: Target): void {
    this.#known.suspect(target, monotonicMs() + SUSPECT_MS);
  }

  /** Puts changed membership in force in the routers. */
  #follow(): void {
    const now = this.#membership();
    if (this.#followed && isSame(this.#followed, now)) return;
    this.#followed = now;
    const members = serviceable({
      registered: now.targets,
      availability: now.availability,
      leavingHosts: now.avoidedHosts,
      suspected: NOBODY,
    });
    const pools = new Set(
      [...members.map(({ pool }) => pool), ...this.#routers.keys()],
    );
    pools.forEach((pool) =>
      this.#router(pool).follow(
        members.filter((target) => target.pool === pool),
        now.entries,
      )
    );
    this.#known.forgetAllBut(new Set(members.map(({ id }) => id)));
  }

  #membership(): Membership {
    return {
      targets: this.#members.targets,
      avoidedHosts: this.#avoidedHosts,
      entries: this.#opts.entries?.() ?? this.#members.entries,
      availability: this.#opts.lists.current.availability,
    };
  }

  /** Prefix key of a stage; kept, since every attempt asks for it. */
  #prefixOf(stage: StageRequest): string | undefined {
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
    const { avoided } = this.#hosts.judge(inUse);
    if (!isSameSet(avoided, this.#avoidedHosts)) this.#avoidedHosts = avoided;
  }
}

function isSame(a: Membership, b: Membership): boolean {
  return a.targets === b.targets && a.avoidedHosts === b.avoidedHosts &&
    a.entries === b.entries && a.availability === b.availability;
}

function isSameSet<T>(a: ReadonlySet<T>, b: ReadonlySet<T>): boolean {
  return a.size === b.size && [...a].every((item) => b.has(item));
}

/** Cache event for one change that a target's agent reported. */
function reportedBy({ id }: Target, change: CacheChange): CacheEvent {
  const { seq, key, held } = change;
  return {
    kind: "reported",
    target: id,
    seq,
    added: held ? [key] : [],
    removed: held ? [] : [key],
  };
}
