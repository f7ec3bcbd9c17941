/**
 * View that an entry has of the fleet: the catalog, the targets, the failure
 * domains out of service and the other entries. Each record carries its version
 * in the store, so changes may arrive from any source, in any order and more
 * than once.
 *
 * @module
 */

import { BuildHistory, UNRECORDED } from "./builds.ts";
import { Catalog } from "./catalog.ts";
import { RolloutRecords } from "./rollout_records.ts";
import { RouteVersions } from "./route_versions.ts";
import { eraOf, numberOf } from "./store_version.ts";
import {
  isOldReport,
  nextRecord,
  obstacleOf,
  TargetObstacle,
  type TargetRecord,
  withReport,
} from "./target_record.ts";
import {
  type ListedPeer,
  type ListedTarget,
  type PoolBuild,
  type RecordedQuarantine,
  startKey,
  type StateChange,
  type TargetStart,
} from "./state_change.ts";

/** Maximum number of leaving starts; those known longest are discarded. */
const MAX_LEAVING = 4_096;

interface QuarantineRecord {
  readonly version: number;
  /** Undefined once the quarantine has ended. */
  readonly crashes?: number;
  /** What the row of an ended quarantine says in a restored store. */
  readonly staleCrashes?: number;
}

interface FleetRecords {
  readonly catalog: { readonly version: number; readonly value?: Catalog };
  readonly routes: RouteVersions;
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
  readonly builds: BuildHistory;
  readonly quarantines: ReadonlyMap<string, QuarantineRecord>;
  readonly rollouts: RolloutRecords;
  /** Keys of the starts of targets that leave, the latest known last. */
  readonly leaving: ReadonlySet<string>;
}

const EMPTY: FleetRecords = {
  catalog: { version: 0 },
  routes: new RouteVersions(),
  targets: new Map(),
  domains: new Map(),
  peers: new Map(),
  domainRestoredAt: new Map(),
  builds: new BuildHistory(),
  quarantines: new Map(),
  rollouts: new RolloutRecords(),
  leaving: new Set(),
};

/** Listed target of a pool. */
export interface PoolMember {
  readonly target: ListedTarget;
  /** Why it gets no new work; undefined for a usable target. */
  readonly obstacle?: TargetObstacle;
  /** Monotonic time at which its newest row was received. */
  readonly receivedAt: number;
}

/** View of the fleet. Immutable. */
export class FleetState {
  readonly #records: FleetRecords;
  #peers: readonly ListedPeer[] | undefined;
  readonly #byPool = new Map<string, readonly TargetRecord[]>();

  constructor(records: FleetRecords = EMPTY) {
    this.#records = records;
  }

  get catalog(): Catalog | undefined {
    return this.#records.catalog.value;
  }

  /** Versions of the routes within the life of a stream. */
  get routes(): RouteVersions {
    return this.#records.routes;
  }

  get targets(): ReadonlyMap<string, TargetRecord> {
    return this.#records.targets;
  }

  /**
   * Returns the entries, including this one if it is registered, in the order
   * of their registrations; one that restarts moves to the end.
   */
  get peers(): readonly ListedPeer[] {
    this.#peers ??= this.#sortedPeers();
    return this.#peers;
  }

  #sortedPeers(): readonly ListedPeer[] {
    // A restored store keeps the numbers of the registrations in its copy.
    return [...this.#records.peers.values()]
      .sort((a, b) => numberOf(a.version) - numberOf(b.version))
      .flatMap(({ peer }) => peer ? [peer] : []);
  }

  /** Versions of the registrations by entry; a restart changes its version. */
  get registrations(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#records.peers]
        .map(([name, { version }]) => [name, numberOf(version)]),
    );
  }

  /** True when an entry is registered in a store of this or a later era. */
  isRegistered(name: string, era: number): boolean {
    const record = this.#records.peers.get(name);
    return record?.peer !== undefined && eraOf(record.version) >= era;
  }

  /** Orders to move pools to other builds, and the decisions on them. */
  get rollouts(): RolloutRecords {
    return this.#records.rollouts;
  }

  /** Segments of prompts that are kept away from targets. */
  get quarantines(): readonly RecordedQuarantine[] {
    return [...this.#records.quarantines].flatMap(([segment, { crashes }]) =>
      crashes === undefined ? [] : [{ segment, crashes }]
    );
  }

  /** Segments that have a row in a store of the given era. */
  listedQuarantines(era: number): readonly RecordedQuarantine[] {
    return [...this.#records.quarantines].flatMap(([segment, record]) => {
      const crashes = record.crashes ?? record.staleCrashes;
      return crashes === undefined || eraOf(record.version) < era
        ? []
        : [{ segment, crashes }];
    });
  }

  /** Returns the state after changes received at monotonic time `now`. */
  apply(changes: readonly StateChange[], now: number): FleetState {
    const records = changes.reduce(
      (records, change) => {
        const known = withBuild(records, change, now);
        return isNewer(known, change) ? applyChange(known, change, now) : known;
      },
      this.#records,
    );
    return records === this.#records ? this : new FleetState(records);
  }

  /** Returns the state in which one start of a target leaves. */
  withLeaving(start: TargetStart): FleetState {
    if (this.isLeaving(start)) return this;
    const leaving = [...this.#records.leaving, startKey(start)]
      .slice(-MAX_LEAVING);
    return new FleetState({ ...this.#records, leaving: new Set(leaving) });
  }

  /** True when this start of a target has said that it leaves. */
  isLeaving(start: TargetStart): boolean {
    return this.#records.leaving.has(startKey(start));
  }

  /** Returns the change that puts the catalog in force, if one is known. */
  catalogChanges(): readonly StateChange[] {
    const { version, value } = this.#records.catalog;
    return value ? [{ kind: "catalog", version, catalog: value.spec }] : [];
  }

  /**
   * Returns the changes that lead from an empty state to this one at monotonic
   * time `now`.
   */
  changes(now = 0): StateChange[] {
    const { targets, domains, peers, builds, quarantines, rollouts } =
      this.#records;
    return [
      ...this.catalogChanges(),
      ...[...targets].map(([id, { version, target, lapsesAt }]) =>
        ({
          kind: "target",
          version,
          id,
          target: lapsesAt === undefined ? target : undefined,
          hasLapsed: lapsesAt !== undefined,
          lapseMs: lapsesAt === undefined
            ? undefined
            : Math.max(0, lapsesAt - now),
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
      ...rollouts.changes(now),
      ...builds.all.map((one) => ({ kind: "build", ...one }) as const),
      ...[...quarantines].map(([segment, { version, crashes }]) =>
        ({
          kind: "quarantine",
          version,
          segment,
          crashes,
        }) satisfies StateChange
      ),
    ];
  }

  /**
   * Returns the builds of pools of resumable streams that a store of the given
   * era holds no record of.
   */
  unrecordedBuilds(era = 0): readonly PoolBuild[] {
    const pools = this.catalog?.resumablePools;
    return this.#records.builds.all
      .filter(({ version }) => version === UNRECORDED || eraOf(version) < era)
      .flatMap(({ pool, build }) => pools?.has(pool) ? [{ pool, build }] : []);
  }

  /**
   * Returns the builds that streams of a pool may have begun at: those of its
   * listed targets and those that it had within `memoryMs`. Undefined stands for
   * listed targets that report no build.
   */
  buildsOf(
    pool: string,
    now: number,
    memoryMs?: number,
  ): readonly (string | undefined)[] {
    const listed = [...this.#records.targets.values()]
      .filter(({ lapsesAt }) => lapsesAt === undefined || now < lapsesAt)
      .flatMap(({ target }) => target?.pool === pool ? [target.build] : []);
    const recent = this.#records.builds.of(pool, now, memoryMs);
    return [...new Set([...listed, ...recent])];
  }

  /** True while operators keep a failure domain out of service. */
  isOut(failureDomain: string): boolean {
    return this.#records.domains.get(failureDomain)?.isOut ?? false;
  }

  /** Returns the targets of a pool that may get new work at time `now`. */
  usable(pool: string, now: number): readonly ListedTarget[] {
    return this.#recordsOf(pool)
      .filter((record) => this.#obstacleOf(record, now) === undefined)
      .flatMap(({ target }) => target ?? []);
  }

  /** Returns the listed targets of a pool as they are at time `now`. */
  members(pool: string, now: number): readonly PoolMember[] {
    return this.#recordsOf(pool).flatMap((record) =>
      record.target
        ? [{
          target: record.target,
          obstacle: this.#obstacleOf(record, now),
          receivedAt: record.receivedAt,
        }]
        : []
    );
  }

  /** Why a target gets no new work, by its own row or by others. */
  #obstacleOf(
    record: TargetRecord,
    now: number,
  ): TargetObstacle | undefined {
    const own = obstacleOf(record, now);
    const { target } = record;
    if (own || !target) return own;
    if (this.isOut(target.failureDomain)) return TargetObstacle.DomainOut;
    return this.isLeaving(target) ? TargetObstacle.Leaving : undefined;
  }

  /** Records of the targets of a pool. */
  #recordsOf(pool: string): readonly TargetRecord[] {
    const known = this.#byPool.get(pool);
    if (known) return known;
    const records = [...this.#records.targets.values()]
      .filter(({ target }) => target?.pool === pool);
    this.#byPool.set(pool, records);
    return records;
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

/** True when a change is newer than what is known of its row. */
function isNewer(records: FleetRecords, change: StateChange): boolean {
  if (change.kind === "catalog") return isNewerCatalog(records.catalog, change);
  return change.version > versionOf(records, change);
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
    case "build":
      return records.builds.versionOf(change);
    case "quarantine":
      return records.quarantines.get(change.segment)?.version ?? 0;
    case "rollout-order":
    case "rollout-verdict":
      return records.rollouts.versionOf(change);
  }
}

/**
 * Adds the build that a target of a change has, also when the change itself is
 * older than what is known.
 */
function withBuild(
  records: FleetRecords,
  change: StateChange,
  now: number,
): FleetRecords {
  if (change.kind !== "target" || !change.target) return records;
  const { pool, build } = change.target;
  if (build === undefined) return records;
  const builds = records.builds.add({ pool, build }, now);
  return builds === records.builds ? records : { ...records, builds };
}

function applyChange(
  records: FleetRecords,
  change: StateChange,
  now: number,
): FleetRecords {
  const { version } = change;
  switch (change.kind) {
    case "catalog": {
      const value = new Catalog(change.catalog);
      return {
        ...records,
        catalog: { version, value },
        routes: records.routes.next(value, now),
      };
    }
    case "target": {
      const before = records.targets.get(change.id);
      if (before && isOldReport(before, change)) {
        const record = withReport(before, change);
        if (record === before) return records;
        const targets = new Map(records.targets).set(change.id, record);
        return { ...records, targets };
      }
      return {
        ...records,
        targets: new Map(records.targets)
          .set(change.id, nextRecord(before, change, now)),
        leaving: leavingAfter(records.leaving, change),
        builds: buildsAfter(records.builds, before?.target, now),
      };
    }
    case "domain":
      return {
        ...records,
        domains: new Map(records.domains)
          .set(change.failureDomain, { version, isOut: change.isOut }),
        domainRestoredAt: isRestoredDomain(records, change)
          ? new Map(records.domainRestoredAt).set(change.failureDomain, now)
          : records.domainRestoredAt,
      };
    case "peer":
      return {
        ...records,
        peers: new Map(records.peers)
          .set(change.name, { version, peer: change.peer }),
      };
    case "build":
      return {
        ...records,
        builds: records.builds.recorded(change, version, now),
      };
    case "quarantine":
      return {
        ...records,
        quarantines: new Map(records.quarantines)
          .set(change.segment, nextQuarantine(records, change)),
      };
    case "rollout-order":
    case "rollout-verdict":
      return { ...records, rollouts: records.rollouts.apply(change, now) };
  }
}

/** True when a failure domain that was out returns to service. */
function isRestoredDomain(
  { domains }: FleetRecords,
  { failureDomain, isOut }: Extract<StateChange, { kind: "domain" }>,
): boolean {
  return !isOut && domains.get(failureDomain)?.isOut === true;
}

/**
 * True when a catalog is newer than the known one. A restored store may list an
 * older one under a newer version; the operator's versions tell them apart.
 */
function isNewerCatalog(
  { version, value }: FleetRecords["catalog"],
  change: Extract<StateChange, { kind: "catalog" }>,
): boolean {
  const isComparable = value === undefined ||
    eraOf(change.version) === eraOf(version) ||
    change.catalog.version === value.spec.version;
  return isComparable
    ? change.version > version
    : change.catalog.version > value.spec.version;
}

/**
 * Returns the record of a quarantine. One that has ended does not begin again
 * because a restored store still holds its row.
 */
function nextQuarantine(
  { quarantines }: FleetRecords,
  { segment, version, crashes }: Extract<StateChange, { kind: "quarantine" }>,
): QuarantineRecord {
  const before = quarantines.get(segment);
  const isStale = before !== undefined && before.crashes === undefined &&
    eraOf(version) > eraOf(before.version);
  return isStale ? { version, staleCrashes: crashes } : { version, crashes };
}

/**
 * Returns the leaving targets after a change. A removed target that reports no
 * time of its start can't be told from its next start, so it is forgotten.
 */
function leavingAfter(
  leaving: ReadonlySet<string>,
  { id, target, hasLapsed }: Extract<StateChange, { kind: "target" }>,
): ReadonlySet<string> {
  const key = startKey({ id });
  if (target || hasLapsed || !leaving.has(key)) return leaving;
  const remaining = new Set(leaving);
  remaining.delete(key);
  return remaining;
}

/** Returns the builds once a row shows a target no longer as it was before. */
function buildsAfter(
  builds: BuildHistory,
  before: ListedTarget | undefined,
  now: number,
): BuildHistory {
  if (before?.build === undefined) return builds;
  return builds.seen({ pool: before.pool, build: before.build }, now);
}
