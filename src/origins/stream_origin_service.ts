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
  onlyOrigin,
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
  SentOrigin,
} from "../wire/mod.ts";
import { Keepers } from "./keepers.ts";
import {
  askKeepers,
  type KeeperFindings,
  NOBODY_ASKED,
} from "./origin_lookup.ts";
import { OriginBackups } from "./origin_backups.ts";
import { OriginSharing } from "./origin_sharing.ts";
import type { StoredOrigins } from "./stored_origins.ts";
import type { OriginClients, OriginFleet } from "./ports.ts";

/** Pause between flushes of records to keepers, in milliseconds. */
const FLUSH_PAUSE_MS = 100;

/** Pools of a route that a peer of an older build does not name. */
const NO_CANDIDATES: PoolCandidates = { pools: [], isSure: false };

/** Request that takes a stream up. */
export interface TakenUp {
  /** Identifier of the request, for the log. */
  readonly request: string;
  /** Attempt that brought the first event; undefined when not named. */
  readonly stream?: string;
  readonly route: RouteAddress;
}

/** How an origin was found. */
type OriginSource = "own" | "keeper" | "store" | "deduced";

/** Origins of streams, as exchanges and peers use them. */
export class StreamOriginService implements OriginApi {
  readonly #fleet: OriginFleet;
  readonly #clients: OriginClients;
  readonly #stored: StoredOrigins | undefined;
  readonly #keepers: Keepers;
  readonly #sharing: OriginSharing;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #start = randomUUID();
  /** Origins kept for other entries. */
  #kept = new StreamOrigins();
  readonly #backups = new OriginBackups();
  /** Pools of which the copies kept for others are shared. */
  #sharedBackups: ReadonlySet<string> = new Set();
  /** Pools at which streams have begun here. */
  readonly #begunPools = new Set<string>();
  /** Those of them whose origins are stored. */
  readonly #storedPools = new Set<string>();
  #storeEra = 0;
  #isLeaving = false;

  constructor(
    deps: {
      self: ListedPeer;
      fleet: OriginFleet;
      clients: OriginClients;
      /** Without it, origins are lost when all entries end together. */
      stored?: StoredOrigins;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#fleet = deps.fleet;
    this.#stored = deps.stored;
    this.#clients = deps.clients;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#keepers = new Keepers(deps);
    this.#sharing = new OriginSharing({ ...deps, keepers: this.#keepers });
    deps.metrics.gauge("origins_own", () => this.#sharing.origins.size);
    deps.metrics.gauge("origins_kept", () => this.#kept.size);
  }

  /** Pushes records to their keepers and the store until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#stored?.run(signal);
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
    this.#begunPools.forEach((pool) => this.#storeOriginsOf(pool));
  }

  /** Stores all live origins again once the store was restored. */
  #checkEra(): void {
    const era = this.#fleet.storeEra();
    if (era === this.#storeEra) return;
    this.#storeEra = era;
    this.#storedPools.clear();
    this.#begunPools.forEach((pool) => this.#storeOriginsOf(pool));
  }

  /** Stores the origins of a pool if they can't be deduced. */
  #storeOriginsOf(pool: string): void {
    const isShared = this.#sharing.isShared(pool);
    if (!isShared) this.#storedPools.delete(pool);
    if (!isShared || this.#storedPools.has(pool)) return;
    this.#storedPools.add(pool);
    this.#sharing.origins.live(monotonicMs())
      .filter(({ origin }) => origin.pool === pool)
      .forEach(({ stream, origin }) => this.#stored?.add(stream, origin));
  }

  /** Records the origin of a stream whose first event arrives. */
  begun(stream: string, { pool, build }: StreamOrigin): void {
    const expiresAt = monotonicMs() + ORIGIN_TTL_MS;
    this.#sharing.add({ stream, origin: { pool, build }, expiresAt });
    this.#begunPools.add(pool);
    if (this.#storedPools.has(pool)) this.#stored?.add(stream, { pool, build });
    else this.#storeOriginsOf(pool);
  }

  /**
   * Finds the origin of a stream; undefined when it is not known and can't be
   * deduced.
   */
  async find(takenUp: TakenUp): Promise<StreamOrigin | undefined> {
    const startedAt = monotonicMs();
    const own = this.known(takenUp.stream);
    if (own) return this.#found(takenUp, own, { source: "own", startedAt });
    const findings = await this.#ask(takenUp);
    if (findings.origin) {
      const { origin, keeper } = findings;
      return this.#found(takenUp, origin, {
        source: "keeper",
        keeper,
        startedAt,
      });
    }
    const stored = await this.#findStored(takenUp);
    if (stored) {
      return this.#found(takenUp, stored, { source: "store", startedAt });
    }
    const deduced = await this.#deduce(takenUp, findings);
    if (deduced) {
      return this.#found(takenUp, deduced, { source: "deduced", startedAt });
    }
    this.#logUnknown(takenUp, findings, startedAt);
    return undefined;
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

  /** The origin in the store, once no entry knows it any more. */
  async #findStored({ stream }: TakenUp): Promise<StreamOrigin | undefined> {
    return stream === undefined ? undefined : await this.#stored?.find(stream);
  }

  async #ask(
    { stream, route }: TakenUp,
    opts: { readonly among?: readonly ListedPeer[] } = {},
  ): Promise<KeeperFindings> {
    const [pool] = this.#fleet.candidates(stream, route).pools;
    if (stream === undefined || pool === undefined) return NOBODY_ASKED;
    const { hostname, pathPrefix } = route;
    return await askKeepers({
      stream,
      pool,
      route: { hostname, pathPrefix },
      readsStore: opts.among !== undefined,
    }, { keepers: this.#keepers, clients: this.#clients, ...opts });
  }

  /**
   * The origin if only one pool, and only one build of it, can have begun the
   * stream. A view from before the stream was taken up may lack the build that
   * began it, so this entry or a keeper reads the store first, unless most
   * keepers answered.
   */
  async #deduce(
    takenUp: TakenUp,
    findings: KeeperFindings,
  ): Promise<StreamOrigin | undefined> {
    const isRecent = findings.isMajority ||
      this.#keepers.order.peers.length === 0 ||
      await this.#fleet.readChanges();
    if (isRecent) return this.#onlyOrigin(takenUp, findings.answers);
    if (findings.answered.length === 0) return undefined;
    const { answered: among } = findings;
    const { origin, answers } = await this.#ask(takenUp, { among });
    if (origin) return origin;
    const hasRead = answers.some(({ hasReadStore }) => hasReadStore);
    return hasRead ? this.#onlyOrigin(takenUp, answers) : undefined;
  }

  #onlyOrigin(
    { stream, route }: TakenUp,
    answers: readonly OriginAnswer[],
  ): StreamOrigin | undefined {
    const own = this.#fleet.candidates(stream, route);
    const pools = new Set([
      ...own.pools,
      ...answers.flatMap(({ pools }) => pools),
    ]);
    const isSure = own.isSure ||
      answers.some(({ arePoolsSure }) => arePoolsSure);
    const [pool] = own.pools;
    if (pool === undefined || pools.size > 1 || !isSure) return undefined;
    const builds = answers.map(({ builds }) => new Set(builds.map(fromWire)));
    return onlyOrigin(pool, [this.#fleet.buildsOf(pool), ...builds]);
  }

  #logUnknown(
    { request, stream, route }: TakenUp,
    { answers, isMajority }: KeeperFindings,
    startedAt: number,
  ): void {
    this.#metrics.count("origin_lookups_total", { source: "unknown" });
    const { pools, isSure } = this.#fleet.candidates(stream, route);
    this.#log.warn("stream_origin_unknown", {
      request,
      stream,
      pools: pools.join(","),
      poolsSure: isSure,
      builds: pools.flatMap((pool) => [...this.#fleet.buildsOf(pool)])
        .join(","),
      answers: answers.length,
      majority: isMajority,
      tookMs: Math.round(monotonicMs() - startedAt),
    });
  }

  #found(
    { request, stream }: TakenUp,
    origin: StreamOrigin,
    how: { source: OriginSource; keeper?: string; startedAt: number },
  ): StreamOrigin {
    const { source, keeper, startedAt } = how;
    this.#metrics.count("origin_lookups_total", { source });
    this.#log.info("stream_origin_found", {
      request,
      stream,
      pool: origin.pool,
      build: origin.build,
      source,
      keeper,
      tookMs: Math.round(monotonicMs() - startedAt),
    });
    return origin;
  }
}

function fromWire(build: string | null): string | undefined {
  return build ?? undefined;
}
