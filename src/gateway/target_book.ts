/**
 * What this process knows of its targets' load and health, and the shares of
 * fleet-wide limits that it has spent.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  applyHealth,
  createHealth,
  type PoolHealth,
  weightOf,
} from "../routing/mod.ts";
import {
  chooseTarget,
  coldRate,
  ColdShare,
  type FleetState,
  type ListedTarget,
  type Pool,
  RepeatShare,
  type ServingCandidate,
} from "../serving/mod.ts";
import type { AnswerHead } from "./ports.ts";

/** Bounds of the repeats of a pool's requests, for the whole fleet. */
export interface RepeatBounds {
  readonly ratio: number;
  readonly windowMs: number;
  readonly allowance: number;
}

interface Record {
  own: number;
  reported: number;
  reportedAt: number;
  /** Moving share of requests that failed, and the time of the newest one. */
  failureShare: number;
  failureAt: number;
  cold: ColdShare;
}

/** Time for which a reported load counts, in milliseconds. */
const REPORT_TTL_MS = 1_000;
/** Share of the connections of a target that the fleet may use. */
const CONNECTION_SHARE = 0.8;
/** Requests at once to a target that does not tell how many it runs. */
const DEFAULT_SLOTS = 6;
/** Fewest connections of one process to a target. */
const MIN_CONNECTIONS = 2;

/** Gain of the moving share of failures. */
const FAILURE_GAIN = 0.15;
/** Time in which a share of failures halves without requests, in ms. */
const FAILURE_HALF_LIFE_MS = 2_000;

/** A target that was chosen, until the call to it has ended. */
export interface Reservation {
  readonly target: ListedTarget;
  readonly maxConnections: number;
  /** Takes the head of its answer into account. */
  head(head: AnswerHead): void;
  /** The target has not answered for long; the call goes on. */
  overdue(): void;
  /** The call ended well, after `serviceMs` milliseconds. */
  done(serviceMs: number): void;
  /** The call failed by the target's fault. */
  failed(): void;
  /** The call ended and says nothing of the target. */
  dropped(): void;
}

/** Load, health and shares by target and pool. */
export class TargetBook {
  readonly #state: () => FleetState;
  readonly #processes: () => readonly string[];
  readonly #self: { readonly name: string; readonly failureDomain: string };
  readonly #repeats: RepeatBounds;
  readonly #records = new Map<string, Record>();
  readonly #health = new Map<string, PoolHealth>();
  readonly #shares = new Map<string, RepeatShare>();

  constructor(
    deps: {
      state: () => FleetState;
      processes: () => readonly string[];
      self: { readonly name: string; readonly failureDomain: string };
      repeats: RepeatBounds;
    },
  ) {
    this.#state = deps.state;
    this.#processes = deps.processes;
    this.#self = deps.self;
    this.#repeats = deps.repeats;
  }

  /** Notes a request for a pool, from which its repeats are earned. */
  request(pool: string): void {
    const { windowMs } = this.#repeats;
    const share = this.#shares.get(pool) ?? new RepeatShare();
    this.#shares.set(pool, share.request(monotonicMs(), windowMs));
  }

  /** Spends one repeat of the pool's share; false when none is left. */
  spendRepeat(pool: string): boolean {
    const share = this.#shares.get(pool) ?? new RepeatShare();
    const { allowance, ...bounds } = this.#repeats;
    const next = share.repeat(monotonicMs(), {
      ...bounds,
      allowance: Math.floor(allowance / this.#processes().length),
    });
    if (!next) return false;
    this.#shares.set(pool, next);
    return true;
  }

  /** Chooses a target of a pool; undefined when none is open. */
  reserve(
    pool: Pool,
    opts: {
      affinity?: string;
      exclude: ReadonlySet<string>;
    },
  ): Reservation | undefined {
    const now = monotonicMs();
    const usable = this.#state().usable(pool.name, now);
    this.#refresh(pool.name, usable, now);
    const fresh = usable.filter(({ id }) => !opts.exclude.has(id));
    const candidates = fresh.map((target) =>
      this.#candidate(pool, target, now)
    );
    const target = chooseTarget(candidates, {
      affinity: opts.affinity,
      failureDomain: this.#self.failureDomain,
      random: Math.random,
    }) ?? this.#ejected(candidates);
    if (!target) return undefined;
    return this.#reserve(pool, target, now);
  }

  /** Failure domain of the target that a prompt prefix prefers now. */
  preferredDomain(pool: Pool, affinity: string): string | undefined {
    const now = monotonicMs();
    const candidates = this.#state().usable(pool.name, now)
      .map((target) => this.#candidate(pool, target, now));
    return chooseTarget(candidates, {
      affinity,
      failureDomain: this.#self.failureDomain,
      random: Math.random,
    })?.failureDomain;
  }

  /** Forgets targets that are not listed any more. */
  prune(): void {
    const { targets } = this.#state();
    [...this.#records.keys()]
      .filter((id) => !targets.get(id)?.target)
      .filter((id) => this.#records.get(id)?.own === 0)
      .forEach((id) => this.#records.delete(id));
  }

  /** With all open targets ejected, an ejected one is better than none. */
  #ejected(
    candidates: readonly ServingCandidate[],
  ): ListedTarget | undefined {
    return candidates.find(({ load }) => load.isOpen)?.target;
  }

  #candidate(pool: Pool, target: ListedTarget, now: number): ServingCandidate {
    const record = this.#record(target.id);
    const health = this.#health.get(pool.name);
    const isFresh = now - record.reportedAt < REPORT_TTL_MS;
    return {
      target,
      load: {
        own: record.own,
        reported: isFresh ? record.reported : 0,
        slots: pool.engineSlots ?? DEFAULT_SLOTS,
        failureShare: failureShareAt(record, now),
        weight: health ? weightOf(health, target.id, now) : 1,
        isOpen: record.own < this.#maxConnections(pool) &&
          this.#coldShare(pool, target, now) !== undefined,
      },
    };
  }

  /** Cold share after one more request; undefined when none is left. */
  #coldShare(
    pool: Pool,
    target: ListedTarget,
    now: number,
  ): ColdShare | undefined {
    const { cold } = this.#record(target.id);
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

  #reserve(pool: Pool, target: ListedTarget, now: number): Reservation {
    const record = this.#record(target.id);
    record.cold = this.#coldShare(pool, target, now) ?? record.cold;
    record.own += 1;
    let isEnded = false;
    const end = () => {
      if (isEnded) return false;
      isEnded = true;
      record.own -= 1;
      return true;
    };
    return {
      target,
      maxConnections: this.#maxConnections(pool),
      head: ({ load }) => {
        if (load === undefined) return;
        record.reported = load;
        record.reportedAt = monotonicMs();
      },
      overdue: () => {
        noteFailure(record, 1);
        this.#event(pool.name, { kind: "failed", target: target.id });
      },
      done: (serviceMs) => {
        if (!end()) return;
        noteFailure(record, 0);
        const stage = pool.name;
        this.#event(pool.name, {
          kind: "done",
          target: target.id,
          stage,
          serviceMs,
        });
      },
      failed: () => {
        if (!end()) return;
        noteFailure(record, 1);
        this.#event(pool.name, { kind: "failed", target: target.id });
      },
      dropped: () => {
        end();
      },
    };
  }

  #maxConnections({ maxConnections }: Pool): number {
    const each = CONNECTION_SHARE * maxConnections / this.#processes().length;
    return Math.max(MIN_CONNECTIONS, Math.floor(each));
  }

  #refresh(pool: string, usable: readonly ListedTarget[], now: number): void {
    const health = this.#health.get(pool) ?? createHealth();
    const isSame = usable.length === health.targets.size &&
      usable.every(({ id }) => health.targets.has(id));
    if (isSame && this.#health.has(pool)) return;
    const targets = usable.map(({ id }) => id);
    this.#health.set(
      pool,
      applyHealth(health, { kind: "members", targets }, now),
    );
  }

  #event(pool: string, event: Parameters<typeof applyHealth>[1]): void {
    const health = this.#health.get(pool);
    if (!health) return;
    this.#health.set(pool, applyHealth(health, event, monotonicMs()));
  }

  #record(id: string): Record {
    const found = this.#records.get(id);
    if (found) return found;
    const fresh = {
      own: 0,
      reported: 0,
      reportedAt: 0,
      failureShare: 0,
      failureAt: 0,
      cold: new ColdShare(),
    };
    this.#records.set(id, fresh);
    return fresh;
  }
}

/** Takes one request into account: 1 when it failed, 0 when it did not. */
function noteFailure(record: Record, failed: 0 | 1): void {
  const now = monotonicMs();
  const share = failureShareAt(record, now);
  record.failureShare = share + FAILURE_GAIN * (failed - share);
  record.failureAt = now;
}

function failureShareAt(record: Record, now: number): number {
  const halves = (now - record.failureAt) / FAILURE_HALF_LIFE_MS;
  return record.failureShare * 0.5 ** halves;
}
