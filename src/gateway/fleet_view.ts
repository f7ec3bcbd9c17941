/**
 * Keeps an entry's view of the fleet up to date, from the platform's store and,
 * while the store is unreachable, from other entries.
 *
 * @module
 */

import {
  monotonicMs,
  SharedRun,
  sleep,
  timeoutSignal,
  Watchdog,
} from "../kernel/mod.ts";
import {
  type BuildHolder,
  type Catalog,
  eraOf,
  FleetState,
  LAPSE_GRACE_MS,
  type ObservedOrigins,
  ORIGIN_TTL_MS,
  type PoolBuild,
  type RecordedQuarantine,
  type StateChange,
  type TargetStart,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import { type CatalogStanding, CatalogTrace } from "./catalog_trace.ts";
import { catalogDifference, logChanges } from "./change_log.ts";
import { type FollowBounds, type FollowSpec, followSpecs } from "./follow.ts";
import {
  type SourceError,
  StatePart,
  type StateRead,
  type StateSource,
} from "./ports.ts";
import { removalsBy } from "./snapshot_removals.ts";

/**
 * Time that a response may take beyond the wait of its call, in milliseconds.
 */
const RESPONSE_SLACK_MS = 900;
/** Pause after a failed call, in milliseconds. */
const RETRY_PAUSE_MS = 300;
/**
 * Time after a restoration of the store at which what it still does not list is
 * dropped, in milliseconds: operators and targets first write again what it has
 * lost. Targets report within two seconds; operators may take longer.
 */
const RESTORED_REVIEW_MS: Readonly<Partial<Record<StatePart, number>>> = {
  [StatePart.Configuration]: 10_000,
  [StatePart.Targets]: 3_000,
};
/**
 * Age of the list of targets up to which it shows whether a pool has one build,
 * in milliseconds: a call that follows it, its pause and its slack.
 */
const BUILD_VIEW_MS = 2_500;
/**
 * Time for which a build counts as in use after its last target has gone, in
 * milliseconds: longer than the pause between the checks of what is in use.
 */
const OBSERVED_MS = 5_000;
/**
 * Longest response of a route whose streams have a default origin, in
 * milliseconds: the record of another origin must outlive the response.
 */
const MAX_RECORDED_MS = ORIGIN_TTL_MS - 10_000;
/** Longest wait for what has changed until now, in milliseconds. */
const CHANGES_TIMEOUT_MS = 500;
/** Pause between such reads, which all callers share, in milliseconds. */
const CHANGES_PAUSE_MS = 200;

/** What a peer reports of the changes that it sends. Times are monotonic. */
export interface PeerReport {
  /** Name of the peer, or its address while no name is known. */
  readonly peer: string;
  /** Time at which the peer last read the targets. */
  readonly targetsReadAt: number;
  /** Time at which the peer last read the configuration, if it says so. */
  readonly configurationReadAt?: number;
  /**
   * False when the peer knows no rollouts: its changes then lack rows that its
   * versions cover.
   */
  readonly knowsRollouts?: boolean;
}

/** View of the fleet and the tasks that keep it up to date. */
export class FleetView {
  readonly #source: StateSource;
  readonly #specs: Readonly<Record<StatePart, FollowSpec>>;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  #state = new FleetState();
  readonly #versions = new Map<StatePart, number>();
  /**
   * Parts that need a snapshot, and the monotonic times since which they do.
   * Updates from peers do not replace it: the peers may have lost the same
   * changes.
   */
  readonly #needSnapshot = new Map<StatePart, number>(
    Object.values(StatePart).map((part) => [part, Number.NEGATIVE_INFINITY]),
  );
  /** Monotonic times at which a restored store is to be read again, by part. */
  readonly #reviewAt = new Map<StatePart, number>();
  readonly #listeners = new Set<(state: FleetState) => void>();
  /** Monotonic time of the last response of the store. */
  #lastResponseAt = Number.NEGATIVE_INFINITY;
  /** Monotonic time at which this process or a peer last read the targets. */
  #targetsReadAt = Number.NEGATIVE_INFINITY;
  #failedAt = Number.NEGATIVE_INFINITY;
  #isStoreLost = false;
  readonly #catalogTrace = new CatalogTrace();
  readonly #changes = new SharedRun(
    () => this.#readChanges(),
    { pauseMs: CHANGES_PAUSE_MS },
  );

  constructor(
    deps: {
      source: StateSource;
      bounds: FollowBounds;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#specs = followSpecs(deps.bounds);
    this.#source = deps.source;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#metrics.gauge(
      "catalog_version",
      () => this.#state.catalog?.version ?? 0,
    );
  }

  get state(): FleetState {
    return this.#state;
  }

  /** Version up to which a part is known. */
  versionOf(part: StatePart): number {
    return this.#versions.get(part) ?? 0;
  }

  /** Builds that the store holds no record of. */
  get unrecordedBuilds(): readonly PoolBuild[] {
    return this.#state.unrecordedBuilds(this.ownRowsEra);
  }

  /** Segments of prompts that the store lists as in quarantine. */
  get listedQuarantines(): readonly RecordedQuarantine[] {
    return this.#state.listedQuarantines(this.ownRowsEra);
  }

  /** True while the store lists an entry as registered. */
  isRegistered(name: string): boolean {
    return this.#state.isRegistered(name, this.ownRowsEra);
  }

  /**
   * Routes and builds of the streams that may begin now; undefined until
   * configuration, targets and builds were read.
   */
  get observedOrigins(): ObservedOrigins | undefined {
    const isRead = Object.values(StatePart)
      .every((part) => this.versionOf(part) > 0);
    const { catalog } = this.#state;
    if (!isRead || !catalog) return undefined;
    const now = monotonicMs();
    return {
      builds: [...catalog.resumablePools].flatMap((pool) =>
        this.#state.buildsOf(pool, now, OBSERVED_MS)
          .map((build) => ({ pool, build }))
      ),
      routes: catalog.resumableRoutes
        .filter(({ timeoutMs }) => timeoutMs <= MAX_RECORDED_MS)
        .map(({ hostname, pathPrefix, pools }) => ({
          address: { hostname, pathPrefix },
          pools: pools.map(({ pool, weight }) => ({ pool, weight })),
        })),
    };
  }

  /** Era of the store from which the rows of this system were read. */
  get ownRowsEra(): number {
    return eraOf(this.versionOf(StatePart.Peers));
  }

  /** Time since the last response of the store, in milliseconds. */
  get storeAgeMs(): number {
    return monotonicMs() - this.#lastResponseAt;
  }

  /** Time since the list of targets was read, in milliseconds. */
  get targetsAgeMs(): number {
    return monotonicMs() - this.#targetsReadAt;
  }

  /**
   * Time since the configuration was read, here or by a peer that told this
   * process, in milliseconds.
   */
  get configurationAgeMs(): number {
    return this.#catalogTrace.confirmedAgeMs;
  }

  /** How the catalog in force became known. */
  get catalogStanding(): CatalogStanding {
    return this.#catalogTrace.standing;
  }

  /** True while the builds of all pools are known as of a short time ago. */
  get knowsBuilds(): boolean {
    return this.versionOf(StatePart.Peers) > 0 &&
      this.targetsAgeMs < BUILD_VIEW_MS;
  }

  /**
   * Returns the build that all streams of a pool have begun at; undefined when
   * it has lately had several, or when this process can't tell.
   */
  onlyBuildOf(pool: string): BuildHolder | undefined {
    const builds = this.#state.buildsOf(pool, monotonicMs());
    return this.knowsBuilds && builds.length === 1
      ? { build: builds[0] }
      : undefined;
  }

  /**
   * Reads configuration and targets as they are after the call; false when the
   * store does not answer.
   */
  readChanges(): Promise<boolean> {
    return this.#changes.run();
  }

  async #readChanges(): Promise<boolean> {
    const parts = [StatePart.Configuration, StatePart.Targets];
    const read = await Promise.all(
      parts.map((part) => this.#readChangesOf(part)),
    );
    return read.every((isRead) => isRead);
  }

  async #readChangesOf(part: StatePart): Promise<boolean> {
    if (this.#needSnapshot.has(part)) return false;
    const startedAt = monotonicMs();
    const read = await this.#source.follow(
      part,
      { after: this.versionOf(part), waitMs: 0 },
      timeoutSignal(CHANGES_TIMEOUT_MS),
    );
    if (read.isErr()) {
      this.#log.warn("changes_unread", { part, reason: read.error.kind });
      return false;
    }
    this.#recordRead(part, startedAt, read.value);
    return true;
  }

  /** Calls `listener` after each change. */
  onChange(listener: (state: FleetState) => void): void {
    this.#listeners.add(listener);
  }

  /** Follows all parts until `signal` aborts. */
  run(signal: AbortSignal): void {
    Object.values(StatePart).forEach((part) => this.#follow(part, signal));
  }

  /**
   * Merges the changes and versions that a peer knows. Where the peer knows no
   * rollouts, this process goes on from its own versions.
   */
  merge(
    changes: readonly StateChange[],
    versions: Partial<Record<StatePart, number>>,
    report: PeerReport,
  ): void {
    const { peer, targetsReadAt, knowsRollouts = true } = report;
    const { configurationReadAt = Number.NEGATIVE_INFINITY } = report;
    this.#apply(changes, peer);
    this.#targetsReadAt = Math.max(this.#targetsReadAt, targetsReadAt);
    this.#catalogTrace.confirmed(configurationReadAt);
    Object.values(StatePart).forEach((part) => {
      const version = versions[part];
      const known = this.versionOf(part);
      if (version === undefined || version <= known) return;
      const mayLackRows = !knowsRollouts && part !== StatePart.Targets &&
        eraOf(version) === eraOf(known) && !this.#needSnapshot.has(part);
      if (mayLackRows) return;
      if (known > 0 && eraOf(version) > eraOf(known)) {
        this.#recordRestored(part, eraOf(version), "peer");
      }
      this.#versions.set(part, version);
    });
  }

  /** Applies changes that a write to the store has returned. */
  learn(changes: readonly StateChange[]): void {
    this.#recordResponse();
    this.#apply(changes, "write");
  }

  /**
   * Records that one start of a target leaves; false when that is known. Its
   * work in hand goes on.
   */
  markLeaving(start: TargetStart): boolean {
    const next = this.#state.withLeaving(start);
    if (next === this.#state) return false;
    this.#state = next;
    this.#notify();
    return true;
  }

  async #follow(part: StatePart, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isOk = await this.#poll(part, signal);
      if (isOk && this.#needSnapshot.has(part)) continue;
      await sleep(isOk ? this.#specs[part].pauseMs : RETRY_PAUSE_MS, signal);
    }
  }

  /** Makes one call to the store; false when it failed. */
  async #poll(part: StatePart, signal: AbortSignal): Promise<boolean> {
    if (monotonicMs() >= (this.#reviewAt.get(part) ?? Infinity)) {
      this.#markForSnapshot(part);
    }
    const isSnapshot = this.#needSnapshot.has(part);
    const after = this.versionOf(part);
    const waitMs = Math.round(this.#specs[part].waitMs);
    // Time in which this process could not have read the response counts little.
    const timeout = new Watchdog(
      (isSnapshot ? 0 : waitMs) + RESPONSE_SLACK_MS,
    );
    const ended = AbortSignal.any([timeout.signal, signal]);
    const startedAt = monotonicMs();
    const read = isSnapshot
      ? await this.#source.snapshot(part, ended)
      : await this.#source.follow(part, { after, waitMs }, ended);
    timeout.end();
    if (signal.aborted) return false;
    if (read.isErr()) return this.#handleError(part, read.error);
    const { changes, version } = read.value;
    this.#recordSnapshot(part, startedAt);
    const all = isSnapshot ? this.#withRemovals(part, read.value) : changes;
    this.#recordRead(part, startedAt, { changes: all, version });
    return true;
  }

  #markForSnapshot(part: StatePart): void {
    this.#needSnapshot.set(part, monotonicMs());
  }

  /** Records a read; what made a snapshot necessary later still does. */
  #recordSnapshot(part: StatePart, startedAt: number): void {
    const markedAt = this.#needSnapshot.get(part);
    if (markedAt !== undefined && markedAt <= startedAt) {
      this.#needSnapshot.delete(part);
    }
  }

  /**
   * Applies what the store has returned. It is as of the start of the call at
   * least; this process may have stood still since.
   */
  #recordRead(
    part: StatePart,
    startedAt: number,
    { changes, version }: StateRead,
  ): void {
    this.#recordResponse();
    if (part === StatePart.Targets) {
      this.#targetsReadAt = Math.max(this.#targetsReadAt, startedAt);
    }
    this.#apply(changes.map((change) => this.#withLapse(change)), "store");
    if (part === StatePart.Configuration) {
      this.#catalogTrace.confirmed(startedAt);
    }
    this.#versions.set(part, Math.max(version, this.versionOf(part)));
  }

  #handleError(part: StatePart, error: SourceError): boolean {
    this.#metrics.count("store_failures_total", { kind: error.kind });
    if (error.kind === "restored") {
      this.#recordResponse();
      this.#recordRestored(part, error.era, "store");
      return true;
    }
    if (error.kind === "history-lost") {
      this.#log.warn("store_history_lost", { part });
      this.#recordResponse();
      this.#markForSnapshot(part);
      return true;
    }
    this.#failedAt = monotonicMs();
    if (!this.#isStoreLost) {
      this.#isStoreLost = true;
      this.#log.warn("store_lost", { part, detail: error.detail });
    }
    return false;
  }

  /**
   * Records that the store has returned from a copy. What it has lost stays
   * known here until it was written again, or had the time to be.
   */
  #recordRestored(part: StatePart, era: number, from: string): void {
    this.#log.warn("store_restored", { part, era, from });
    this.#metrics.count("store_restored_total", { part });
    this.#markForSnapshot(part);
    const reviewMs = RESTORED_REVIEW_MS[part];
    if (reviewMs === undefined) return;
    this.#reviewAt.set(part, monotonicMs() + reviewMs);
  }

  #recordResponse(): void {
    this.#lastResponseAt = monotonicMs();
    if (!this.#isStoreLost) return;
    this.#isStoreLost = false;
    this.#log.info("store_regained", {});
  }

  /** Returns what a snapshot has changed: what it lists, and what it lacks. */
  #withRemovals(part: StatePart, read: StateRead): readonly StateChange[] {
    if (part === StatePart.Peers || this.#awaitsRewrites(part)) {
      return read.changes;
    }
    // After a restoration the targets have had the time to report again.
    const hasLapsed = this.#reviewAt.delete(part) ? false : undefined;
    const gone = removalsBy(read, { part, known: this.#state, hasLapsed });
    return [...read.changes, ...gone];
  }

  /** True while a restored store may lack rows that are still to be written. */
  #awaitsRewrites(part: StatePart): boolean {
    return monotonicMs() < (this.#reviewAt.get(part) ?? 0);
  }

  #withLapse(change: StateChange): StateChange {
    if (change.kind !== "target" || change.target) return change;
    if (change.hasLapsed !== undefined) return change;
    // Rows that lapsed in an outage are back within a short time of its end; one
    // that is removed later, or still missing then, is gone.
    const lapseMs = this.#failedAt + LAPSE_GRACE_MS - monotonicMs();
    return { ...change, hasLapsed: lapseMs > 0, lapseMs };
  }

  #apply(changes: readonly StateChange[], from: string): void {
    const before = this.#state;
    this.#state = before.apply(changes, monotonicMs());
    if (this.#state === before) return;
    logChanges(this.#log, before, { changes, from });
    this.#logCatalog(before.catalog, from);
    this.#notify();
  }

  /**
   * Logs that another catalog is in force. It was written at most
   * `unconfirmedMs` before.
   */
  #logCatalog(before: Catalog | undefined, from: string): void {
    const { catalog } = this.#state;
    if (!catalog || catalog === before) return;
    const unconfirmedMs = this.configurationAgeMs;
    this.#catalogTrace.applied(catalog, from);
    this.#log.info("catalog_applied", {
      catalog: catalog.version,
      before: before?.version,
      from,
      unconfirmedMs: Number.isFinite(unconfirmedMs)
        ? Math.round(unconfirmedMs)
        : undefined,
      ...catalogDifference(before?.spec, catalog.spec),
    });
  }

  /** Tells all listeners; one that fails keeps the change from no other. */
  #notify(): void {
    this.#listeners.forEach((listener) => {
      try {
        listener(this.#state);
      } catch (err) {
        const detail = err instanceof Error ? err.stack : String(err);
        this.#log.error("listener_failed", { detail });
      }
    });
  }
}
