/**
 * Remembers which build began which stream, here and at other entries, and finds
 * the origin of a stream that a caller takes up.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { every, monotonicMs } from "../kernel/mod.ts";
import {
  type ListedPeer,
  ORIGIN_TTL_MS,
  type PoolCandidates,
  type RouteAddress,
  type StreamOrigin,
  StreamOrigins,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  OriginAnswer,
  OriginApi,
  OriginBatch,
  OriginQuery,
  OriginReceipt,
  RecordBatch,
  RecordReceipt,
  SentOrigin,
} from "../wire/mod.ts";
import type { DefaultOriginKeeper } from "./default_origin_keeper.ts";
import { Keepers } from "./keepers.ts";
import { OriginBackups } from "./origin_backups.ts";
import { OriginFinder, type TakenUp } from "./origin_finder.ts";
import { OriginSharing } from "./origin_sharing.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import type { OriginClients, OriginFleet } from "./ports.ts";

/** Pause between flushes of records to keepers, in milliseconds. */
const FLUSH_PAUSE_MS = 100;

/** Pools of a route that a peer of an older build does not name. */
const NO_CANDIDATES: PoolCandidates = { pools: [], isSure: false };

/** What the store keeps of the origins of streams. */
export interface StoredOriginServices {
  readonly records: StoredOrigins;
  readonly defaults: DefaultOriginKeeper;
}

/** Stream that a caller is about to read. */
export interface BeginningStream {
  /** Attempt of the caller that brings the first event. */
  readonly stream: string;
  readonly route: RouteAddress;
  readonly origin: StreamOrigin;
}

/** Origins of streams, as exchanges and peers use them. */
export class StreamOriginService implements OriginApi {
  readonly #fleet: OriginFleet;
  readonly #stored: StoredOriginServices | undefined;
  readonly #sharing: OriginSharing;
  readonly #finder: OriginFinder;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #start = randomUUID();
  /** Origins kept for other entries. */
  #kept = new StreamOrigins();
  readonly #backups = new OriginBackups();
  /** Pools of which the copies kept for others are shared. */
  #sharedBackups: ReadonlySet<string> = new Set();
  #storeEra = 0;
  #isLeaving = false;

  constructor(
    deps: {
      self: ListedPeer;
      fleet: OriginFleet;
      clients: OriginClients;
      /** Without it, origins are lost when all entries end together. */
      stored?: StoredOriginServices;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#fleet = deps.fleet;
    this.#stored = deps.stored;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    const keepers = new Keepers(deps);
    this.#sharing = new OriginSharing({ ...deps, keepers });
    this.#finder = new OriginFinder({
      ...deps,
      keepers,
      stored: deps.stored?.records,
      known: (stream) => this.known(stream),
    });
    deps.metrics.gauge("origins_own", () => this.#sharing.origins.size);
    deps.metrics.gauge("origins_kept", () => this.#kept.size);
  }

  /** Pushes records to their keepers and the store until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#stored?.records.run(signal);
    this.#stored?.defaults.run(signal);
    every(FLUSH_PAUSE_MS, () => {
      this.#checkEra();
      this.#sharing.flush(signal);
      return Promise.resolve();
    }, signal);
  }

  /** Acknowledges no further records of peers; answers their questions. */
  leave(): void {
    this.#isLeaving = true;
  }

  /** Checks who keeps the records: the fleet has changed. */
  recheck(): void {
    this.#shareBackups();
    this.#sharing.recheck();
  }

  /** Stores all live origins again once the store was restored. */
  #checkEra(): void {
    const era = this.#fleet.storeEra();
    if (era === this.#storeEra) return;
    this.#storeEra = era;
    this.#stored?.records.forget();
    this.#sharing.origins.live(monotonicMs())
      .forEach(({ stream, origin }) =>
        this.#stored?.records.expect(stream, origin)
      );
  }

  /**
   * Begins to record the origin that a stream is about to have, unless it is the
   * default one.
   */
  expect(beginning: BeginningStream): void {
    const { stream, origin } = beginning;
    if (this.#needsRecord(beginning)) {
      this.#stored?.records.expect(stream, origin);
    }
  }

  /**
   * Records the origin of a stream whose first event arrives. Resolves when the
   * caller may see the event; undefined when it may at once.
   */
  begun(beginning: BeginningStream): Promise<void> | undefined {
    const { stream, origin: { pool, build } } = beginning;
    const origin = { pool, build };
    const expiresAt = monotonicMs() + ORIGIN_TTL_MS;
    this.#sharing.add({ stream, origin, expiresAt });
    return this.#needsRecord(beginning)
      ? this.#stored?.records.record(stream, origin)
      : undefined;
  }

  /** True unless a stream without a record is known to be of this origin. */
  #needsRecord({ stream, route, origin }: BeginningStream): boolean {
    if (!this.#stored) return false;
    const { records, defaults } = this.#stored;
    const isDefault = defaults.current?.covers(stream, route, origin) ?? false;
    return !isDefault || records.hasRecord(stream);
  }

  /**
   * Finds the origin of a stream; undefined when it is not known and can't be
   * deduced.
   */
  find(takenUp: TakenUp): Promise<StreamOrigin | undefined> {
    return this.#finder.find(takenUp);
  }

  /** Origins of which a neighbour is to keep a copy. */
  backupFor(neighbour: string): readonly SentOrigin[] {
    return this.#backups.missingAt(neighbour, this.#sharing.unshared());
  }

  /** Records that a neighbour keeps a copy of what it was sent. */
  backupHeld(neighbour: string, sent: readonly SentOrigin[]): void {
    this.#backups.held(neighbour, sent);
  }

  /** Records that a neighbour has restarted and keeps no copies. */
  backupLost(neighbour: string): void {
    this.#backups.forget(neighbour);
  }

  /** Keeps copies of the origins of a neighbour. */
  keepBackup(records: readonly SentOrigin[]): void {
    this.#backups.keep(records);
    const pools = new Set(records.map(({ pool }) => pool));
    this.#sharedBackups = new Set(
      [...this.#sharedBackups].filter((pool) => !pools.has(pool)),
    );
    this.#shareBackups();
  }

  /**
   * Shares the copies of a pool once it becomes shared: the entry of its streams
   * may be lost.
   */
  #shareBackups(): void {
    const live = this.#backups.kept.live(monotonicMs());
    const shared = this.#sharing.sharedOf(
      live.map(({ origin }) => origin.pool),
    );
    live.filter(({ origin: { pool } }) =>
      shared.has(pool) && !this.#sharedBackups.has(pool)
    ).forEach((record) => this.#sharing.add(record));
    this.#sharedBackups = shared;
  }

  keepOrigins({ from, records }: OriginBatch): OriginReceipt {
    const now = monotonicMs();
    if (!this.#isLeaving) {
      this.#kept = records.reduce(
        (kept, { stream, pool, build, leftMs }) =>
          kept.add({
            stream,
            origin: { pool, build },
            expiresAt: now + leftMs,
          }, now),
        this.#kept,
      );
      this.#metrics.count("origin_records_kept_total", {}, records.length);
      this.#log.debug("stream_origins_kept", { from, count: records.length });
    }
    return { start: this.#start, isLeaving: this.#isLeaving };
  }

  async recordOrigins(
    { from, records }: RecordBatch,
  ): Promise<RecordReceipt> {
    const startedAt = monotonicMs();
    const isRecorded = !this.#isLeaving &&
      (await this.#stored?.records.recordFor(records) ?? false);
    this.#log.debug("origins_recorded_for", {
      from,
      count: records.length,
      isRecorded,
      tookMs: Math.round(monotonicMs() - startedAt),
    });
    return { isRecorded };
  }

  async findOrigin(
    { stream, pool, route, readsStore = false }: OriginQuery,
  ): Promise<OriginAnswer> {
    const origin = this.known(stream);
    const hasReadStore = readsStore && await this.#fleet.readChanges();
    const { pools, isSure } = route
      ? this.#fleet.candidates(stream, route)
      : NO_CANDIDATES;
    return {
      origin,
      builds: [...this.#fleet.buildsOf(pool)].map((build) => build ?? null),
      pools: [...pools],
      arePoolsSure: isSure,
      recordsOrigins: this.#stored !== undefined,
      hasReadStore,
    };
  }

  /** The origin of a stream if this entry knows it without asking. */
  known(stream: string | undefined): StreamOrigin | undefined {
    if (stream === undefined) return undefined;
    const now = monotonicMs();
    return this.#sharing.origins.of(stream, now) ??
      this.#kept.of(stream, now) ?? this.#backups.kept.of(stream, now);
  }
}
