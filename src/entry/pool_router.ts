/**
 * Routing state of one pool at one entry: which targets it follows, their
 * health and the prompt prefixes they are believed to hold.
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
  type EntryPlace,
  type HealthEvent,
  isHolder,
  type PoolHealth,
  subsetOf,
  weightOf,
} from "../routing/mod.ts";
import type { KnownTargets } from "./known_targets.ts";

/** What a pool's choice depends on. */
export interface PoolChoice {
  /** Targets that were tried already. */
  readonly tried: ReadonlySet<TargetId>;
  /** Key of the call's prompt prefix. */
  readonly prefix?: string;
}

/** How a call ended, as far as the target's health is concerned. */
export type CallVerdict =
  | {
    readonly kind: "done";
    readonly stage: string;
    readonly serviceMs: number;
  }
  | { readonly kind: "failed" }
  /** Says nothing about the target. */
  | { readonly kind: "neutral" };

/** Refusals that speak against the target. */
const FAILURES: ReadonlySet<string> = new Set([
  RefusalReason.TargetFailed,
  RefusalReason.TargetUnreachable,
  RefusalReason.Silent,
]);

/** Verdict of a refusal with this reason. */
export function verdictOf(reason: RefusalReason): CallVerdict {
  return { kind: FAILURES.has(reason) ? "failed" : "neutral" };
}

/** Chooses among the targets of one pool. */
export class PoolRouter {
  readonly #self: EntryPlace;
  readonly #known: KnownTargets;
  readonly #random: () => number;
  #entries: readonly EntryPlace[] | undefined;
  #members: readonly Target[] = [];
  #subset: readonly Target[] = [];
  #health: PoolHealth = createHealth();
  #caches: CacheView = EMPTY_CACHE_VIEW;

  constructor(
    opts: { self: EntryPlace; known: KnownTargets; random: () => number },
  ) {
    this.#self = opts.self;
    this.#known = opts.known;
    this.#random = opts.random;
  }

  /** Targets that the entry follows. */
  get subset(): readonly Target[] {
    return this.#subset;
  }

  /** Replaces the members of the pool and the entries before it. */
  follow(members: readonly Target[], entries: readonly EntryPlace[]): void {
    // The subsets of a large fleet are costly to work out.
    if (entries === this.#entries && isSame(members, this.#members)) return;
    this.#entries = entries;
    this.#members = members;
    this.#subset = subsetOf(members, { self: this.#self, entries });
    this.#applyHealth({
      kind: "members",
      targets: this.#subset.map(({ id }) => id),
    });
  }

  /**
   * Picks a target of the subset; one beyond it when the subset has none
   * left, and one that is ejected or suspected when there is no other.
   */
  choose(opts: PoolChoice): Target | undefined {
    const usable = (targets: readonly Target[]) =>
      this.#pick(targets.filter((one) => this.#isTrusted(one)), opts);
    return usable(this.#subset) ?? usable(this.#members) ??
      this.#pick(this.#subset, opts);
  }

  /** Takes notice of how a call ended. */
  ended(
    target: TargetId,
    { verdict, prefix }: { verdict: CallVerdict; prefix?: string },
  ): void {
    if (verdict.kind === "neutral") return;
    this.#applyHealth({ target, ...verdict });
    if (verdict.kind === "done" && prefix !== undefined) {
      this.cacheEvent({ kind: "used", target, key: prefix });
    }
  }

  /** Takes notice of what a target's cache holds. */
  cacheEvent(event: CacheEvent): void {
    this.#caches = applyCache(this.#caches, event, monotonicMs());
  }

  #pick(targets: readonly Target[], opts: PoolChoice): Target | undefined {
    return chooseTarget(targets.map((one) => this.#candidate(one, opts)), {
      random: this.#random,
      homeDomain: this.#self.domain,
      exclude: opts.tried,
      avoidDomains: this.#domainsOf(opts.tried),
      prefix: opts.prefix,
    });
  }

  #isTrusted({ id }: Target): boolean {
    const now = monotonicMs();
    return weightOf(this.#health, id, now) > 0 &&
      (this.#known.find(id)?.suspectedUntil ?? 0) <= now;
  }

  #candidate(target: Target, { prefix }: PoolChoice): Candidate {
    const now = monotonicMs();
    const known = this.#known.find(target.id);
    const holdsPrefix = prefix !== undefined &&
      isHolder(this.#caches, { target: target.id, key: prefix, now });
    return {
      target,
      load: known?.load,
      loadAgeMs: known ? now - known.heardAt : 0,
      outstanding: known?.outstanding ?? 0,
      begunSince: known?.begunSince ?? 0,
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

function isSame(a: readonly Target[], b: readonly Target[]): boolean {
  return a.length === b.length && a.every((target, i) => target === b[i]);
}
