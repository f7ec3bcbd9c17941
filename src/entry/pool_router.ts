/**
 * Routing state of one pool at one entry: the subset of targets that the entry
 * tracks, their health and the prompt prefixes that they presumably cache.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import {
  type DomainName,
  RefusalReason,
  type Target,
  type TargetId,
} from "../model/mod.ts";
import {
  applyCache,
  applyHealth,
  type CacheEvent,
  type CacheView,
  type Candidate,
  chooseTarget,
  createHealth,
  EMPTY_CACHE_VIEW,
  type EntryLocation,
  type HealthEvent,
  isHolder,
  type PoolHealth,
  subsetOf,
  weightOf,
} from "../routing/mod.ts";
import type { KnownTargets } from "./known_targets.ts";

/** Options of the choice of a target. */
export interface PoolChoiceOptions {
  /** Targets of earlier attempts. */
  readonly tried: ReadonlySet<TargetId>;
  /** Key of the call's prompt prefix. */
  readonly prefix?: string;
}

/** Outcome of a call as evidence about the target's health. */
export type HealthOutcome =
  | {
    readonly kind: "done";
    readonly stage: string;
    readonly serviceMs: number;
  }
  | { readonly kind: "failed" }
  /** No evidence about the target. */
  | { readonly kind: "neutral" };

/** Refusal reasons that count as failures of the target. */
const TARGET_FAILURE_REASONS: ReadonlySet<string> = new Set([
  RefusalReason.TargetFailed,
  RefusalReason.TargetCrashed,
  RefusalReason.TargetUnreachable,
  RefusalReason.Silent,
]);

/** Evidence of a refusal with this reason. */
export function healthOutcomeOf(reason: RefusalReason): HealthOutcome {
  return { kind: TARGET_FAILURE_REASONS.has(reason) ? "failed" : "neutral" };
}

/** Chooses targets of one pool. */
export class PoolRouter {
  readonly #self: EntryLocation;
  readonly #known: KnownTargets;
  readonly #random: () => number;
  #entries: readonly EntryLocation[] | undefined;
  #members: readonly Target[] = [];
  #subset: readonly Target[] = [];
  #health: PoolHealth = createHealth();
  #cacheView: CacheView = EMPTY_CACHE_VIEW;

  constructor(
    opts: { self: EntryLocation; known: KnownTargets; random: () => number },
  ) {
    this.#self = opts.self;
    this.#known = opts.known;
    this.#random = opts.random;
  }

  /** Targets that the entry tracks. */
  get subset(): readonly Target[] {
    return this.#subset;
  }

  /** Replaces the members of the pool and the known entries. */
  setMembership(
    members: readonly Target[],
    entries: readonly EntryLocation[],
  ): void {
    // The subsets of a large fleet are costly to compute, so an unchanged
    // membership is skipped.
    if (entries === this.#entries && areEqual(members, this.#members)) return;
    this.#entries = entries;
    this.#members = members;
    this.#subset = subsetOf(members, { self: this.#self, entries });
    this.#applyHealth({
      kind: "members",
      targets: this.#subset.map(({ id }) => id),
    });
  }

  /**
   * Chooses a usable target of the subset, else one outside the subset, else
   * one of the subset that is ejected or suspected.
   */
  choose(opts: PoolChoiceOptions): Target | undefined {
    const pickUsable = (targets: readonly Target[]) =>
      this.#pick(targets.filter((target) => this.#isUsable(target)), opts);
    return pickUsable(this.#subset) ?? pickUsable(this.#members) ??
      this.#pick(this.#subset, opts);
  }

  /**
   * Records the outcome of a call. A target that completed the call is recorded
   * as holding its prefix.
   */
  recordOutcome(
    target: TargetId,
    { healthOutcome, prefix }: {
      healthOutcome: HealthOutcome;
      prefix?: string;
    },
  ): void {
    if (healthOutcome.kind === "neutral") return;
    this.#applyHealth({ target, ...healthOutcome });
    if (healthOutcome.kind === "done" && prefix !== undefined) {
      this.applyCacheEvent({ kind: "used", target, key: prefix });
    }
  }

  /** Applies a change of a target's prefix cache. */
  applyCacheEvent(event: CacheEvent): void {
    this.#cacheView = applyCache(this.#cacheView, event, monotonicMs());
  }

  #pick(
    targets: readonly Target[],
    opts: PoolChoiceOptions,
  ): Target | undefined {
    return chooseTarget(
      targets.map((target) => this.#candidate(target, opts)),
      {
        random: this.#random,
        localDomain: this.#self.domain,
        exclude: opts.tried,
        avoidDomains: this.#domainsOf(opts.tried),
        prefix: opts.prefix,
      },
    );
  }

  #isUsable({ id }: Target): boolean {
    const now = monotonicMs();
    return weightOf(this.#health, id, now) > 0 &&
      (this.#known.find(id)?.suspectedUntil ?? 0) <= now;
  }

  #candidate(target: Target, { prefix }: PoolChoiceOptions): Candidate {
    const now = monotonicMs();
    const known = this.#known.find(target.id);
    const holdsPrefix = prefix !== undefined &&
      isHolder(this.#cacheView, { target: target.id, key: prefix, now });
    return {
      target,
      load: known?.load,
      loadAgeMs: known ? now - known.lastReportAt : 0,
      outstanding: known?.outstanding ?? 0,
      startedSinceReport: known?.startedSinceReport ?? 0,
      // An ejected target is a candidate only as a last resort; chooseTarget()
      // would reject its weight of 0.
      weight: weightOf(this.#health, target.id, now) || 1,
      holdsPrefix,
    };
  }

  #domainsOf(tried: ReadonlySet<TargetId>): ReadonlySet<DomainName> {
    const targets = this.#members.filter(({ id }) => tried.has(id));
    return new Set(targets.map(({ domain }) => domain));
  }

  #applyHealth(event: HealthEvent): void {
    this.#health = applyHealth(this.#health, event, monotonicMs());
  }
}

function areEqual(a: readonly Target[], b: readonly Target[]): boolean {
  return a.length === b.length && a.every((target, i) => target === b[i]);
}
