/**
 * Load and health of the targets as known to this process, and its use of its
 * shares of fleet-wide limits.
 *
 * @module
 */

import { monotonicMs, type Random } from "../kernel/mod.ts";
import {
  applyHealth,
  createHealth,
  type PoolHealth,
  weightOf,
} from "../routing/mod.ts";
import {
  type BuildHolder,
  type ChoiceOptions,
  Closure,
  coldRate,
  ColdShare,
  ConnectionShares,
  type ExpectedTime,
  type FleetState,
  type ListedTarget,
  ofBuild,
  type Placement,
  placeRequest,
  type Pool,
  type RequestWork,
  type RetryBounds,
  RetryShare,
  sampleCandidates,
  type ServingCandidate,
  timeCandidates,
  type TimedCandidate,
} from "../serving/mod.ts";
import type { RateLimits, TargetPauses } from "../rates/mod.ts";
import { NO_ROLLOUTS, type RolloutTargets } from "../rollout/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import { WorkAtTargets, type WrittenEvents } from "./work_at_targets.ts";
import type { ResponseHead } from "./ports.ts";

/** Budget of the retries of a pool's requests, for the whole fleet. */
export interface RetryBudget {
  readonly ratio: number;
  readonly windowMs: number;
  readonly allowance: number;
}

interface TargetRecord {
  /** Requests of this process in flight at the target. */
  own: number;
  /** Requests running and waiting at the target, as it last reported. */
  reported: number;
  reportedAt: number;
  /** Moving average of the share of failed requests, and its last update. */
  failureShare: number;
  failureAt: number;
  cold: ColdShare;
}

/** Record of a target to which this process has sent nothing. */
const UNUSED: Readonly<TargetRecord> = {
  own: 0,
  reported: 0,
  reportedAt: 0,
  failureShare: 0,
  failureAt: 0,
  cold: new ColdShare(),
};

/** What bars requests to a target, whatever its health. */
const BARS = [
  Closure.Connections,
  Closure.RateLimit,
  Closure.Pause,
  Closure.ColdShare,
] as const;

/** Time for which a reported load is valid, in milliseconds. */
const REPORT_TTL_MS = 1_000;
/** Share of the connections of a target that the fleet may use. */
const CONNECTION_SHARE = 0.8;
/** Concurrent requests to a target that does not state how many it runs. */
const DEFAULT_SLOTS = 6;
/** Minimum number of connections of one process to a target. */
const MIN_CONNECTIONS = 2;

/**
 * Targets of a pool that are compared by expected time, which bounds the
 * processor time of a choice. A choice among this many at random is about as
 * good as one among all.
 */
const MAX_TIMED = 32;

/** Smoothing factor of the moving average of the failure share. */
const FAILURE_SMOOTHING = 0.15;
/** Half-life of a failure share without requests, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** Targets among which one is chosen. */
export interface TargetChoice {
  /** Targets that are not chosen. */
  readonly exclude: ReadonlySet<string>;
  /** Only a target of the same build is chosen. */
  readonly sameBuildAs?: BuildHolder;
}

/** Target that may be chosen, and what speaks against it. */
export interface InspectedTarget extends ServingCandidate {
  readonly closures: readonly Closure[];
  /** Age of its last report, in milliseconds; undefined without one. */
  readonly reportAgeMs?: number;
  /** Undefined where the count of requests decides. */
  readonly expected?: ExpectedTime;
}

/** What the choice of a target depends on. */
export interface TargetInspection {
  readonly candidates: readonly InspectedTarget[];
  /** Makes the choice among the targets that are not excluded. */
  choose(
    exclude: ReadonlySet<string>,
    random: () => number,
  ): ListedTarget | undefined;
}

/** Request for which a target is chosen. */
export interface PlacedRequest {
  /** Key of the prompt prefix. */
  readonly affinity?: string;
  readonly work?: RequestWork;
  /** Name of its route; the calls of a route are compared during a rollout. */
  readonly route?: string;
}

/**
 * Time of a choice, the health of the pool's targets if not as recorded, and the
 * draws if not at random.
 */
interface Inspected {
  readonly now: number;
  readonly health?: PoolHealth;
  readonly random?: Random;
}

/** A chosen target, reserved until the call to it has ended. */
export interface Reservation {
  readonly target: ListedTarget;
  readonly maxConnections: number;
  /** Expected time at the target; undefined if it did not decide the choice. */
  readonly timed?: TimedCandidate;
  /** Records the load that the head of the response reports. */
  head(head: ResponseHead): void;
  /** Records that the first bytes of a result arrived after `ms`. */
  begun(ms: number): void;
  /** Records an overdue response as a failure; the call continues. */
  overdue(): void;
  /** Records events of a stream. */
  progressed(): void;
  /**
   * Records that the call succeeded after `serviceMs` milliseconds, with the
   * events of a stream.
   */
  done(serviceMs: number, events?: WrittenEvents): void;
  /** Records that the call failed through a fault of the target. */
  failed(): void;
  /** Ends the reservation without a sample of the target's health. */
  discarded(): void;
}

/** Tracks load, health and shares by target and pool. */
export class TargetTracker {
  readonly #state: () => FleetState;
  readonly #processes: () => readonly string[];
  readonly #self: { readonly name: string; readonly failureDomain: string };
  readonly #retryBudget: RetryBudget;
  readonly #rates: Pick<RateLimits, "isOpen" | "expectedWaitMs">;
  readonly #pauses: Pick<TargetPauses, "waitMs">;
  readonly #rollouts: RolloutTargets;
  readonly #records = new Map<string, TargetRecord>();
  readonly #health = new Map<string, PoolHealth>();
  readonly #retryShares = new Map<string, RetryShare>();
  readonly #work: WorkAtTargets;
  readonly #connections: ConnectionShares;

  constructor(
    deps: {
      state: () => FleetState;
      processes: () => readonly string[];
      self: { readonly name: string; readonly failureDomain: string };
      repeats: RetryBudget;
      rates: Pick<RateLimits, "isOpen" | "expectedWaitMs">;
      pauses: Pick<TargetPauses, "waitMs">;
      /** Absent: every usable target may be chosen. */
      rollouts?: RolloutTargets;
      metrics?: Pick<Metrics, "durations">;
    },
  ) {
    this.#state = deps.state;
    this.#processes = deps.processes;
    this.#self = deps.self;
    this.#retryBudget = deps.repeats;
    this.#rates = deps.rates;
    this.#pauses = deps.pauses;
    this.#rollouts = deps.rollouts ?? NO_ROLLOUTS;
    this.#work = new WorkAtTargets(deps.metrics);
    this.#connections = new ConnectionShares(deps.self.name);
  }

  /** Records a request for a pool; the retry budget is a ratio of these. */
  request(pool: string): void {
    const { windowMs } = this.#retryBudget;
    const share = this.#retryShares.get(pool) ?? new RetryShare();
    this.#retryShares.set(pool, share.request(monotonicMs(), windowMs));
  }

  /** Takes one retry from the pool's budget; false when none is left. */
  spendRetry(pool: string): boolean {
    const share = this.#retryShares.get(pool) ?? new RetryShare();
    const next = share.retry(monotonicMs(), this.#retryBounds);
    if (!next) return false;
    this.#retryShares.set(pool, next);
    return true;
  }

  /** Retries that this process may send to a pool now. */
  retriesLeft(pool: string): number {
    const share = this.#retryShares.get(pool) ?? new RetryShare();
    const left = share.left(monotonicMs(), this.#retryBounds);
    return Math.max(0, Math.floor(left));
  }

  get #retryBounds(): RetryBounds {
    const { allowance, ...bounds } = this.#retryBudget;
    const processes = this.#processes().length;
    return { ...bounds, allowance: Math.floor(allowance / processes) };
  }

  /** Chooses a target of a pool; undefined when none is open. */
  reserve(
    pool: Pool,
    opts: TargetChoice & PlacedRequest,
  ): Reservation | undefined {
    const now = monotonicMs();
    const usable = this.#state().usable(pool.name, now);
    this.#health.set(pool.name, this.#healthOf(pool.name, usable, now));
    const groups = this.#groups(pool, usable, { ...opts, now });
    const placed = this.#place(groups, this.#choiceOptions(pool, opts));
    if (!placed) return undefined;
    const { work, route = pool.name } = opts;
    const { target, timed } = placed;
    return this.#reserve(pool, target, { work, timed, route, now });
  }

  /**
   * Returns what `reserve` decides on; reserves, counts and changes nothing.
   * `random` draws the targets of a large pool that are compared.
   */
  inspect(
    pool: Pool,
    opts: Omit<TargetChoice, "exclude"> & PlacedRequest,
    random?: Random,
  ): TargetInspection {
    const now = monotonicMs();
    const usable = this.#state().usable(pool.name, now);
    const health = this.#healthOf(pool.name, usable, now);
    const groups = this.#groups(pool, usable, {
      ...opts,
      exclude: new Set(),
      now,
      health,
      random,
    });
    const choice = this.#choiceOptions(pool, opts);
    const times = new Map(
      groups.flatMap((group) => timeCandidates(group, choice))
        .map(({ candidate, expected }) => [candidate.target.id, expected]),
    );
    return {
      candidates: groups.flat().map((candidate) => ({
        ...candidate,
        expected: times.get(candidate.target.id),
        closures: this.#closures(pool, candidate, now),
        reportAgeMs: this.#reportAgeMs(candidate.target, now),
      })),
      choose: (exclude, random) =>
        this.#place(
          groups.map((group) =>
            group.filter(({ target }) => !exclude.has(target.id))
          ),
          { ...choice, random },
        )?.target,
    };
  }

  /** Candidates of a request, the groups that go first at the front. */
  #groups(
    pool: Pool,
    usable: readonly ListedTarget[],
    opts: TargetChoice & PlacedRequest & Inspected,
  ): readonly (readonly ServingCandidate[])[] {
    const { exclude, sameBuildAs } = opts;
    return this.#rollouts.targetsFor(
      pool.name,
      ofBuild(usable, sameBuildAs),
      { sameBuildAs, isRetry: exclude.size > 0 },
    ).map((group) =>
      this.#candidates(pool, group.filter(({ id }) => !exclude.has(id)), opts)
    );
  }

  #place(
    groups: readonly (readonly ServingCandidate[])[],
    choice: ChoiceOptions,
  ): Placement | undefined {
    return firstOf(groups, (candidates) => placeRequest(candidates, choice)) ??
      firstOf(groups, (candidates) => this.#ejectedFallback(candidates));
  }

  #closures(
    pool: Pool,
    { target, load }: ServingCandidate,
    now: number,
  ): readonly Closure[] {
    const bars = BARS.filter((bar) => this.#isBarred(bar, pool, target, now));
    return load.weight > 0 ? bars : [...bars, Closure.Ejected];
  }

  /** Age of the load that a target last reported, in milliseconds. */
  #reportAgeMs({ id }: ListedTarget, now: number): number | undefined {
    const { reportedAt } = this.#known(id);
    return reportedAt > 0 ? now - reportedAt : undefined;
  }

  /**
   * Time until a target of a pool takes requests again, in milliseconds, when
   * all of them limit their requests or have asked for a pause; otherwise
   * undefined.
   */
  reopensInMs(pool: Pool, sameBuildAs?: BuildHolder): number | undefined {
    const waits = this.#allowed(pool, sameBuildAs, monotonicMs()).map((
      target,
    ) =>
      Math.max(
        this.#rates.expectedWaitMs(target.id),
        this.#pauses.waitMs(target),
      )
    );
    const ms = Math.min(...waits);
    return Number.isFinite(ms) && ms > 0 ? Math.ceil(ms) : undefined;
  }

  /** Failure domain of the target that a prompt prefix currently prefers. */
  preferredDomain(
    pool: Pool,
    affinity: string,
    sameBuildAs?: BuildHolder,
    work?: RequestWork,
  ): string | undefined {
    const now = monotonicMs();
    const usable = this.#state().usable(pool.name, now);
    const groups = this.#groups(pool, usable, {
      exclude: new Set(),
      sameBuildAs,
      affinity,
      work,
      now,
    });
    const choice = this.#choiceOptions(pool, { affinity, work });
    // The lowest draw stands for the target with the lowest cost.
    const random = work ? () => 0 : choice.random;
    const all = groups.flat();
    return placeRequest(all, { ...choice, random })?.target.failureDomain;
  }
  /** Targets that a request may be sent to at time `now`. */
  #allowed(
    pool: Pool,
    sameBuildAs: BuildHolder | undefined,
    now: number,
  ): readonly ListedTarget[] {
    const usable = ofBuild(this.#state().usable(pool.name, now), sameBuildAs);
    return this.#rollouts.targetsFor(pool.name, usable, { sameBuildAs }).flat();
  }

  /**
   * Removes the records of targets that are no longer listed and have no
   * request of this process in flight.
   */
  prune(): void {
    const { targets } = this.#state();
    [...this.#records.keys()]
      .filter((id) => !targets.get(id)?.target)
      .filter((id) => this.#records.get(id)?.own === 0)
      .forEach((id) => this.#records.delete(id));
    this.#work.prune(
      [...targets.values()].flatMap(({ target }) => target ? [target] : []),
    );
  }

  /**
   * Returns an open target when all open ones are ejected: an ejected one is
   * better than none.
   */
  #ejectedFallback(
    candidates: readonly ServingCandidate[],
  ): Placement | undefined {
    return candidates.find(({ load }) => load.isOpen);
  }

  #candidates(
    pool: Pool,
    among: readonly ListedTarget[],
    { affinity, work, now, health, random = Math.random }:
      & PlacedRequest
      & Inspected,
  ): readonly ServingCandidate[] {
    const candidates = among.map((target) =>
      this.#candidate(pool, target, now, health)
    );
    const isTimed = work !== undefined &&
      this.#work.isReported(among, now);
    if (!isTimed) return candidates;
    const compared = sampleCandidates(candidates, {
      affinity,
      count: MAX_TIMED,
      random,
    });
    return candidates.map((candidate) => {
      if (!compared.has(candidate)) return candidate;
      const { target, load } = candidate;
      const slots = this.#work.slotsOf(target) ?? load.slots;
      const capacity = this.#work.capacityOf(target, {
        pool: pool.name,
        work,
        now,
      });
      return { target, load: { ...load, slots, capacity } };
    });
  }

  #choiceOptions(
    pool: Pool,
    { affinity, work }: PlacedRequest,
  ): ChoiceOptions {
    return {
      affinity,
      work,
      isKnownPrefix: this.#work.isKnown(pool.name, affinity),
      profile: this.#work.profileOf(pool.name),
      failureDomain: this.#self.failureDomain,
      random: Math.random,
    };
  }

  #candidate(
    pool: Pool,
    target: ListedTarget,
    now: number,
    health = this.#health.get(pool.name),
  ): ServingCandidate {
    const record = this.#known(target.id);
    const isFresh = now - record.reportedAt < REPORT_TTL_MS;
    return {
      target,
      load: {
        own: record.own,
        reported: isFresh ? record.reported : 0,
        slots: pool.engineSlots ?? DEFAULT_SLOTS,
        failureShare: failureShareAt(record, now),
        weight: health ? weightOf(health, target.id, now) : 1,
        isOpen: !BARS.some((bar) => this.#isBarred(bar, pool, target, now)),
      },
    };
  }

  /** True when `bar` keeps this process from sending to a target now. */
  #isBarred(
    bar: typeof BARS[number],
    pool: Pool,
    target: ListedTarget,
    now: number,
  ): boolean {
    switch (bar) {
      case Closure.Connections:
        return this.#known(target.id).own >=
          this.#ownConnections(pool, target, now);
      case Closure.RateLimit:
        return !this.#rates.isOpen(target.id);
      case Closure.Pause:
        return this.#pauses.waitMs(target) > 0;
      case Closure.ColdShare:
        return this.#coldShare(pool, target, now) === undefined;
    }
  }

  /** Cold share after one more request; undefined when none is left. */
  #coldShare(
    pool: Pool,
    target: ListedTarget,
    now: number,
  ): ColdShare | undefined {
    const { cold } = this.#known(target.id);
    if (pool.coldPerS <= 0) return cold;
    if (!this.#state().isCold(target.id, now)) {
      return cold.spend(now, Number.POSITIVE_INFINITY);
    }
    const perS = coldRate({
      self: this.#self.name,
      processes: this.#processes(),
      target: target.id,
      perS: pool.coldPerS,
    });
    return cold.spend(now, perS);
  }

  #reserve(
    pool: Pool,
    target: ListedTarget,
    { work, timed, route, now }: {
      readonly work?: RequestWork;
      readonly timed?: TimedCandidate;
      readonly route: string;
      readonly now: number;
    },
  ): Reservation {
    const record = this.#record(target.id);
    const observed = this.#rollouts.observe(target, { route });
    record.cold = this.#coldShare(pool, target, now) ?? record.cold;
    record.own += 1;
    const call = this.#work.begin({
      pool: pool.name,
      target,
      work,
      timed,
      now,
    });
    let isEnded = false;
    const end = () => {
      if (isEnded) return false;
      isEnded = true;
      record.own -= 1;
      call.ended();
      return true;
    };
    return {
      target,
      maxConnections: this.#shareOfConnections(pool, target),
      timed,
      head: ({ load }) => {
        observed.reached();
        if (load === undefined) return;
        record.reported = load.running + load.waiting;
        record.reportedAt = monotonicMs();
        this.#work.report(target, load, record.reportedAt);
      },
      begun: (ms) => call.begun(ms, monotonicMs()),
      overdue: () => {
        observed.overdue();
        recordOutcome(record, 1);
        this.#recordHealth(pool.name, { kind: "failed", target: target.id });
      },
      progressed: () => observed.progressed(),
      done: (serviceMs, events) => {
        if (!end()) return;
        observed.succeeded();
        call.completed(serviceMs, events);
        recordOutcome(record, 0);
        const stage = pool.name;
        this.#recordHealth(pool.name, {
          kind: "done",
          target: target.id,
          stage,
          serviceMs,
        });
      },
      failed: () => {
        if (!end()) return;
        observed.failed();
        recordOutcome(record, 1);
        this.#recordHealth(pool.name, { kind: "failed", target: target.id });
      },
      discarded: () => {
        if (end()) observed.discarded();
      },
    };
  }

  /** Requests that this process may have in flight at a target now. */
  #ownConnections(pool: Pool, target: ListedTarget, now: number): number {
    return this.#work.isReported([target], now)
      ? this.#shareOfConnections(pool, target)
      : this.#maxConnections(pool);
  }

  /** Connections that this process may ever open to a target. */
  #shareOfConnections(pool: Pool, target: ListedTarget): number {
    const share = this.#connections.of({
      processes: this.#processes(),
      target: target.id,
      total: CONNECTION_SHARE * pool.maxConnections,
    });
    return Math.max(MIN_CONNECTIONS, share);
  }

  #maxConnections({ maxConnections }: Pool): number {
    const each = CONNECTION_SHARE * maxConnections / this.#processes().length;
    return Math.max(MIN_CONNECTIONS, Math.floor(each));
  }

  /** Health of a pool with the targets that are usable now. */
  #healthOf(
    pool: string,
    usable: readonly ListedTarget[],
    now: number,
  ): PoolHealth {
    const health = this.#health.get(pool) ?? createHealth();
    const isSame = usable.length === health.targets.size &&
      usable.every(({ id }) => health.targets.has(id));
    if (isSame) return health;
    const targets = usable.map(({ id }) => id);
    return applyHealth(health, { kind: "members", targets }, now);
  }

  #recordHealth(pool: string, event: Parameters<typeof applyHealth>[1]): void {
    const health = this.#health.get(pool);
    if (!health) return;
    this.#health.set(pool, applyHealth(health, event, monotonicMs()));
  }

  #known(id: string): Readonly<TargetRecord> {
    return this.#records.get(id) ?? UNUSED;
  }

  #record(id: string): TargetRecord {
    const found = this.#records.get(id);
    if (found) return found;
    const created = { ...UNUSED };
    this.#records.set(id, created);
    return created;
  }
}

/** Returns the first target that is found in one of the groups. */
function firstOf(
  groups: readonly (readonly ServingCandidate[])[],
  find: (candidates: readonly ServingCandidate[]) => Placement | undefined,
): Placement | undefined {
  for (const candidates of groups) {
    const placed = find(candidates);
    if (placed) return placed;
  }
  return undefined;
}

/** Updates the failure share with one request: 1 if it failed, else 0. */
function recordOutcome(record: TargetRecord, failed: 0 | 1): void {
  const now = monotonicMs();
  const share = failureShareAt(record, now);
  record.failureShare = share + FAILURE_SMOOTHING * (failed - share);
  record.failureAt = now;
}

function failureShareAt(record: TargetRecord, now: number): number {
  const halfLives = (now - record.failureAt) / FAILURE_HALF_LIFE_MS;
  return record.failureShare * 0.5 ** halfLives;
}
