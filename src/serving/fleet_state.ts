/**
 * What an entry believes of the fleet: the catalog, the targets, the failure
 * domains out of service and the other entries. Each entry has the version at
 * which the store holds it, so changes may arrive by any way, in any order and
 * more than once.
 *
 * @module
 */

import { Catalog, type CatalogSpec } from "./catalog.ts";

/** State that a target reports of itself. */
export const TargetState = { Ready: "ready", Draining: "draining" } as const;
export type TargetState = typeof TargetState[keyof typeof TargetState];

/** A target as the store lists it. */
export interface ListedTarget {
  readonly id: string;
  readonly pool: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: TargetState;
  /** Time for which it is still cold, in milliseconds. */
  readonly coldMs: number;
  /** Unix time of its start in milliseconds; undefined when not told. */
  readonly bornMs?: number;
}

/** Another entry as it registered itself. */
export interface ListedPeer {
  readonly name: string;
  /** Base URL of its control address. */
  readonly url: string;
  readonly failureDomain: string;
}

/** One change of the store, decoded. `version` grows with each change. */
export type StateChange =
  | {
    readonly kind: "catalog";
    readonly version: number;
    readonly catalog: CatalogSpec;
  }
  | {
    readonly kind: "target";
    readonly version: number;
    readonly id: string;
    /** Undefined once the target is gone. */
    readonly target?: ListedTarget;
    /** True when it may be gone only because its entry could not be renewed. */
    readonly hasLapsed?: boolean;
  }
  | {
    readonly kind: "domain";
    readonly version: number;
    readonly failureDomain: string;
    readonly isOut: boolean;
  }
  | {
    readonly kind: "peer";
    readonly version: number;
    readonly name: string;
    readonly peer?: ListedPeer;
  };

/** What is remembered of one target. */
export interface TargetBelief {
  readonly version: number;
  readonly target?: ListedTarget;
  /** Monotonic time at which the newest change was learned. */
  readonly learnedAt: number;
  /** Monotonic time until which the target is cold. */
  readonly coldUntil: number;
  /** Monotonic time until which a lapsed entry still counts. */
  readonly lapsesAt?: number;
}

/** Time for which a lapsed entry counts after the store is back, in ms. */
export const LAPSE_GRACE_MS = 2_000;

interface Parts {
  readonly catalog: { readonly version: number; readonly value?: Catalog };
  readonly targets: ReadonlyMap<string, TargetBelief>;
  readonly domains: ReadonlyMap<
    string,
    { readonly version: number; readonly isOut: boolean }
  >;
  readonly peers: ReadonlyMap<
    string,
    { readonly version: number; readonly peer?: ListedPeer }
  >;
  /** Monotonic times at which failure domains came back into service. */
  readonly domainBackAt: ReadonlyMap<string, number>;
}

const EMPTY: Parts = {
  catalog: { version: 0 },
  targets: new Map(),
  domains: new Map(),
  peers: new Map(),
  domainBackAt: new Map(),
};

/** Beliefs about the fleet. Immutable. */
export class FleetState {
  readonly #parts: Parts;

  constructor(parts: Parts = EMPTY) {
    this.#parts = parts;
  }

  get catalog(): Catalog | undefined {
    return this.#parts.catalog.value;
  }

  get targets(): ReadonlyMap<string, TargetBelief> {
    return this.#parts.targets;
  }

  /**
   * Entries, this one too if it is registered, in the order of their
   * registrations: one that restarts goes to the end.
   */
  get peers(): readonly ListedPeer[] {
    return [...this.#parts.peers.values()]
      .sort((a, b) => a.version - b.version)
      .flatMap(({ peer }) => peer ? [peer] : []);
  }

  /** State after changes that were learned at monotonic time `now`. */
  apply(changes: readonly StateChange[], now: number): FleetState {
    const parts = changes.reduce(
      (parts, change) =>
        change.version > versionOf(parts, change)
          ? applyOne(parts, change, now)
          : parts,
      this.#parts,
    );
    return parts === this.#parts ? this : new FleetState(parts);
  }

  /** Changes that lead from an empty state to this one. */
  changes(): StateChange[] {
    const { catalog, targets, domains, peers } = this.#parts;
    const ofCatalog: StateChange[] = catalog.value
      ? [{
        kind: "catalog",
        version: catalog.version,
        catalog: catalog.value.spec,
      }]
      : [];
    return [
      ...ofCatalog,
      ...[...targets].map(([id, { version, target, lapsesAt }]) =>
        ({
          kind: "target",
          version,
          id,
          target: lapsesAt === undefined ? target : undefined,
          hasLapsed: lapsesAt !== undefined,
        }) satisfies StateChange
      ),
      ...[...domains].map(([failureDomain, { version, isOut }]) =>
        ({
          kind: "domain",
          version,
          failureDomain,
          isOut,
        }) satisfies StateChange
      ),
      ...[...peers].map(([name, { version, peer }]) =>
        ({ kind: "peer", version, name, peer }) satisfies StateChange
      ),
    ];
  }

  /** True while operators keep a failure domain out of service. */
  isOut(failureDomain: string): boolean {
    return this.#parts.domains.get(failureDomain)?.isOut ?? false;
  }

  /** Targets of a pool that may get new work at monotonic time `now`. */
  usable(pool: string, now: number): readonly ListedTarget[] {
    return [...this.#parts.targets.values()]
      .filter((belief) => isUsable(belief, now))
      .flatMap(({ target }) => target?.pool === pool ? [target] : [])
      .filter(({ failureDomain }) => !this.isOut(failureDomain));
  }

  /** True while a target may still be cold at monotonic time `now`. */
  isCold(id: string, now: number): boolean {
    const belief = this.#parts.targets.get(id);
    if (!belief?.target) return false;
    const { pool, failureDomain } = belief.target;
    const coldMs = this.catalog?.pool(pool)?.coldMs ?? 0;
    const backAt = this.#parts.domainBackAt.get(failureDomain);
    return now < belief.coldUntil ||
      (backAt !== undefined && now < backAt + coldMs);
  }
}

/** Version at which the row of a change is known; 0 when it is not. */
function versionOf(parts: Parts, change: StateChange): number {
  switch (change.kind) {
    case "catalog":
      return parts.catalog.version;
    case "target":
      return parts.targets.get(change.id)?.version ?? 0;
    case "domain":
      return parts.domains.get(change.failureDomain)?.version ?? 0;
    case "peer":
      return parts.peers.get(change.name)?.version ?? 0;
  }
}

function isUsable(belief: TargetBelief, now: number): boolean {
  return belief.target?.state === TargetState.Ready &&
    (belief.lapsesAt === undefined || now < belief.lapsesAt);
}

function applyOne(parts: Parts, change: StateChange, now: number): Parts {
  const { version } = change;
  switch (change.kind) {
    case "catalog":
      return {
        ...parts,
        catalog: { version, value: new Catalog(change.catalog) },
      };
    case "target":
      return {
        ...parts,
        targets: new Map(parts.targets).set(
          change.id,
          nextBelief(parts.targets.get(change.id), change, now),
        ),
      };
    case "domain":
      return {
        ...parts,
        domains: new Map(parts.domains)
          .set(change.failureDomain, { version, isOut: change.isOut }),
        domainBackAt: change.isOut
          ? parts.domainBackAt
          : new Map(parts.domainBackAt).set(change.failureDomain, now),
      };
    case "peer":
      return {
        ...parts,
        peers: new Map(parts.peers)
          .set(change.name, { version, peer: change.peer }),
      };
  }
}

function nextBelief(
  before: TargetBelief | undefined,
  change: Extract<StateChange, { kind: "target" }>,
  now: number,
): TargetBelief {
  const { version, target } = change;
  if (target) {
    const isSame = before?.target?.bornMs === target.bornMs;
    const coldUntil = now + target.coldMs;
    return {
      version,
      target,
      learnedAt: now,
      coldUntil: isSame
        ? Math.max(before?.coldUntil ?? 0, coldUntil)
        : coldUntil,
    };
  }
  const wasReady = before?.target?.state === TargetState.Ready;
  return {
    version,
    target: change.hasLapsed && wasReady ? before?.target : undefined,
    learnedAt: now,
    coldUntil: 0,
    lapsesAt: change.hasLapsed && wasReady ? now + LAPSE_GRACE_MS : undefined,
  };
}
