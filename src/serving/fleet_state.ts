/**
 * View that an entry has of the fleet: the catalog, the targets, the failure
 * domains out of service and the other entries. Each record carries its version
 * in the store, so changes may arrive from any source, in any order and more
 * than once.
 *
 * @module
 */

import { Catalog, type CatalogSpec } from "./catalog.ts";

/** State that a target reports about itself. */
export const TargetState = { Ready: "ready", Draining: "draining" } as const;
export type TargetState = typeof TargetState[keyof typeof TargetState];

/** Target as listed in the store. */
export interface ListedTarget {
  readonly id: string;
  readonly pool: string;
  /** `IP:PORT`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Version of its software; undefined when not reported. */
  readonly build?: string;
  readonly state: TargetState;
  /** Remaining time of its cold start, in milliseconds. */
  readonly coldMs: number;
  /** Unix time of its start in milliseconds; undefined when not reported. */
  readonly bornMs?: number;
}

/** Entry as it registered itself. */
export interface ListedPeer {
  readonly name: string;
  /** Base URL of its control address. */
  readonly url: string;
  readonly failureDomain: string;
}

/** One decoded change of the store. `version` grows with each change. */
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
    /** Undefined once the target is removed. */
    readonly target?: ListedTarget;
    /** True when it may be gone only because its row could not be renewed. */
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

/** Known state of one target. */
export interface TargetRecord {
  readonly version: number;
  readonly target?: ListedTarget;
  /** Monotonic time at which the newest change was received. */
  readonly receivedAt: number;
  /** Monotonic time until which the target is cold. */
  readonly coldUntil: number;
  /** Monotonic time until which a lapsed target stays in use. */
  readonly lapsesAt?: number;
}

/** Time in ms for which a lapsed target stays in use once the store is back. */
export const LAPSE_GRACE_MS = 2_000;

interface FleetRecords {
  readonly catalog: { readonly version: number; readonly value?: Catalog };
  readonly targets: ReadonlyMap<string, TargetRecord>;
  readonly domains: ReadonlyMap<
    string,
    { readonly version: number; readonly isOut: boolean }
  >;
  readonly peers: ReadonlyMap<
    string,
    { readonly version: number; readonly peer?: ListedPeer }
  >;
  /** Monotonic times at which failure domains returned to service. */
  readonly domainRestoredAt: ReadonlyMap<string, number>;
}

const EMPTY: FleetRecords = {
  catalog: { version: 0 },
  targets: new Map(),
  domains: new Map(),
  peers: new Map(),
  domainRestoredAt: new Map(),
};

/** View of the fleet. Immutable. */
export class FleetState {
  readonly #records: FleetRecords;

  constructor(records: FleetRecords = EMPTY) {
    this.#records = records;
  }

  get catalog(): Catalog | undefined {
    return this.#records.catalog.value;
  }

  get targets(): ReadonlyMap<string, TargetRecord> {
    return this.#records.targets;
  }

  /**
   * Returns the entries, including this one if it is registered, in the order
   * of their registrations; one that restarts moves to the end.
   */
  get peers(): readonly ListedPeer[] {
    return [...this.#records.peers.values()]
      .sort((a, b) => a.version - b.version)
      .flatMap(({ peer }) => peer ? [peer] : []);
  }

  /** Returns the state after changes received at monotonic time `now`. */
  apply(changes: readonly StateChange[], now: number): FleetState {
    const records = changes.reduce(
      (records, change) =>
        change.version > versionOf(records, change)
          ? applyChange(records, change, now)
          : records,
      this.#records,
    );
    return records === this.#records ? this : new FleetState(records);
  }

  /** Returns the changes that lead from an empty state to this one. */
  changes(): StateChange[] {
    const { catalog, targets, domains, peers } = this.#records;
    const catalogChanges: StateChange[] = catalog.value
      ? [{
        kind: "catalog",
        version: catalog.version,
        catalog: catalog.value.spec,
      }]
      : [];
    return [
      ...catalogChanges,
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
    return this.#records.domains.get(failureDomain)?.isOut ?? false;
  }

  /** Returns the targets of a pool that may get new work at time `now`. */
  usable(pool: string, now: number): readonly ListedTarget[] {
    return [...this.#records.targets.values()]
      .filter((record) => isUsable(record, now))
      .flatMap(({ target }) => target?.pool === pool ? [target] : [])
      .filter(({ failureDomain }) => !this.isOut(failureDomain));
  }

  /**
   * True while a target may still be cold at monotonic time `now`. Every target
   * of a failure domain that returned to service counts as cold for the length
   * of a cold start.
   */
  isCold(id: string, now: number): boolean {
    const record = this.#records.targets.get(id);
    if (!record?.target) return false;
    const { pool, failureDomain } = record.target;
    const coldMs = this.catalog?.pool(pool)?.coldMs ?? 0;
    const restoredAt = this.#records.domainRestoredAt.get(failureDomain);
    return now < record.coldUntil ||
      (restoredAt !== undefined && now < restoredAt + coldMs);
  }
}

/** Returns the known version of the row of a change; 0 when unknown. */
function versionOf(records: FleetRecords, change: StateChange): number {
  switch (change.kind) {
    case "catalog":
      return records.catalog.version;
    case "target":
      return records.targets.get(change.id)?.version ?? 0;
    case "domain":
      return records.domains.get(change.failureDomain)?.version ?? 0;
    case "peer":
      return records.peers.get(change.name)?.version ?? 0;
  }
}

function isUsable(record: TargetRecord, now: number): boolean {
  return record.target?.state === TargetState.Ready &&
    (record.lapsesAt === undefined || now < record.lapsesAt);
}

function applyChange(
  records: FleetRecords,
  change: StateChange,
  now: number,
): FleetRecords {
  const { version } = change;
  switch (change.kind) {
    case "catalog":
      return {
        ...records,
        catalog: { version, value: new Catalog(change.catalog) },
      };
    case "target":
      return {
        ...records,
        targets: new Map(records.targets).set(
          change.id,
          nextRecord(records.targets.get(change.id), change, now),
        ),
      };
    case "domain":
      return {
        ...records,
        domains: new Map(records.domains)
          .set(change.failureDomain, { version, isOut: change.isOut }),
        domainRestoredAt: change.isOut
          ? records.domainRestoredAt
          : new Map(records.domainRestoredAt).set(change.failureDomain, now),
      };
    case "peer":
      return {
        ...records,
        peers: new Map(records.peers)
          .set(change.name, { version, peer: change.peer }),
      };
  }
}

function nextRecord(
  before: TargetRecord | undefined,
  change: Extract<StateChange, { kind: "target" }>,
  now: number,
): TargetRecord {
  const { version, target } = change;
  if (target) {
    const isSameStart = before?.target?.bornMs === target.bornMs;
    const coldUntil = now + target.coldMs;
    return {
      version,
      target,
      receivedAt: now,
      coldUntil: isSameStart
        ? Math.max(before?.coldUntil ?? 0, coldUntil)
        : coldUntil,
    };
  }
  const wasReady = before?.target?.state === TargetState.Ready;
  return {
    version,
    target: change.hasLapsed && wasReady ? before?.target : undefined,
    receivedAt: now,
    coldUntil: 0,
    lapsesAt: change.hasLapsed && wasReady ? now + LAPSE_GRACE_MS : undefined,
  };
}
