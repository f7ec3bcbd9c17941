/**
 * Pushes the origins of streams that began here to the entries that keep them.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import {
  Acknowledgements,
  type ListedPeer,
  type OriginPush,
  type OriginRecord,
  StreamOrigins,
  unacknowledged,
} from "../serving/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import { MAX_BATCH_RECORDS, type OriginReceipt } from "../wire/mod.ts";
import type { Keepers } from "./keepers.ts";
import type { OriginClients, OriginFleet } from "./ports.ts";

/** Longest wait for the acknowledgement of a keeper, in milliseconds. */
const KEEP_TIMEOUT_MS = 300;
/** Maximum number of calls in flight. */
const MAX_CALLS = 32;
/** Pause between removals of acknowledgements of expired records, in ms. */
const PRUNE_PAUSE_MS = 5_000;

/** Origins of the streams that began here, and who keeps them. */
export class OriginSharing {
  readonly #self: ListedPeer;
  readonly #fleet: OriginFleet;
  readonly #keepers: Keepers;
  readonly #clients: OriginClients;
  readonly #metrics: Metrics;
  #origins = new StreamOrigins();
  #acknowledged = new Acknowledgements();
  /** Start of each keeper that last acknowledged records. */
  readonly #starts = new Map<string, string>();
  #registrations: ReadonlyMap<string, number> = new Map();
  readonly #inFlight = new Set<string>();
  /** True while a keeper may lack a record. */
  #isPending = false;
  #pruneAt = 0;

  constructor(
    deps: {
      self: ListedPeer;
      fleet: OriginFleet;
      keepers: Keepers;
      clients: OriginClients;
      metrics: Metrics;
    },
  ) {
    this.#self = deps.self;
    this.#fleet = deps.fleet;
    this.#keepers = deps.keepers;
    this.#clients = deps.clients;
    this.#metrics = deps.metrics;
  }

  get origins(): StreamOrigins {
    return this.#origins;
  }

  add(record: OriginRecord): void {
    this.#origins = this.#origins.add(record, monotonicMs());
    this.#isPending = true;
  }

  /**
   * Checks all records at the next flush, since the fleet has changed. An entry
   * that has registered anew has lost its records.
   */
  recheck(): void {
    this.#isPending = true;
    const registrations = this.#fleet.registrations();
    registrations.forEach((version, name) => {
      if (this.#registrations.get(name) === version) return;
      this.#acknowledged = this.#acknowledged.forget(name);
    });
    this.#registrations = registrations;
  }

  /** Starts the calls for what keepers lack, and those that try lost ones. */
  flush(signal: AbortSignal): void {
    const probes = this.#keepers.dueProbes()
      .map((peer) => ({ peer, records: [] }));
    [...probes, ...this.#pending()]
      .filter(({ peer }) => !this.#inFlight.has(peer.name))
      .slice(0, MAX_CALLS - this.#inFlight.size)
      .forEach(({ peer, records }) =>
        this.#push(peer, records.slice(0, MAX_BATCH_RECORDS), signal)
      );
  }

  #pending(): readonly OriginPush[] {
    if (!this.#isPending) return [];
    const pushes = unacknowledged(this.#sharedRecords(), {
      order: this.#keepers.order,
      acknowledged: this.#acknowledged,
      isUsable: (peer) => this.#keepers.isUsable(peer),
    });
    this.#isPending = pushes.length > 0;
    return pushes;
  }

  /**
   * True while other entries can't deduce the origin of each stream of a pool:
   * the pool has had several builds, or a route goes to several pools.
   */
  isShared(pool: string): boolean {
    return this.#fleet.buildsOf(pool).size > 1 ||
      this.#fleet.ambiguousPools().has(pool);
  }

  /** Those of some pools whose origins are shared. */
  sharedOf(pools: Iterable<string>): ReadonlySet<string> {
    return new Set([...new Set(pools)].filter((pool) => this.isShared(pool)));
  }

  /** Live records of the pools whose origins are not shared. */
  unshared(): readonly OriginRecord[] {
    const live = this.#origins.live(monotonicMs());
    const shared = this.sharedOf(live.map(({ origin }) => origin.pool));
    return live.filter(({ origin }) => !shared.has(origin.pool));
  }

  /** Live records of the pools whose origins are shared. */
  #sharedRecords(): readonly OriginRecord[] {
    const now = monotonicMs();
    const live = this.#origins.live(now);
    this.#pruneAcknowledged(live, now);
    const shared = this.sharedOf(live.map(({ origin }) => origin.pool));
    return live.filter(({ origin }) => shared.has(origin.pool));
  }

  #pruneAcknowledged(live: readonly OriginRecord[], now: number): void {
    if (now < this.#pruneAt) return;
    this.#pruneAt = now + PRUNE_PAUSE_MS;
    const streams = new Set(live.map(({ stream }) => stream));
    this.#acknowledged = this.#acknowledged.retain(streams);
  }

  async #push(
    peer: ListedPeer,
    records: readonly OriginRecord[],
    signal: AbortSignal,
  ): Promise<void> {
    const now = monotonicMs();
    this.#inFlight.add(peer.name);
    try {
      const receipt = await this.#clients.keepOrigins(peer.url, {
        from: this.#self.name,
        records: records.map(({ stream, origin, expiresAt }) => ({
          stream,
          ...origin,
          leftMs: Math.round(expiresAt - now),
        })),
      }, timeoutSignal(KEEP_TIMEOUT_MS, signal));
      this.#recordReceipt(peer, records, receipt);
    } catch (err) {
      this.#metrics.count("origin_pushes_total", { outcome: "failed" });
      this.#recordFailure(peer, String(err));
    } finally {
      this.#inFlight.delete(peer.name);
    }
  }

  /**
   * Passes a keeper over for new records. The ones that it has count as lost
   * only after a second failure: a sound entry may be silent for a second, and
   * all of its records would go to others at once.
   */
  #recordFailure(peer: ListedPeer, detail: string): void {
    this.#isPending = true;
    if (!this.#keepers.recordFailure(peer, detail)) return;
    this.#acknowledged = this.#acknowledged.forget(peer.name);
  }

  #recordReceipt(
    peer: ListedPeer,
    records: readonly OriginRecord[],
    { start, isLeaving }: OriginReceipt,
  ): void {
    if (isLeaving) {
      this.#acknowledged = this.#acknowledged.forget(peer.name);
      return this.#recordFailure(peer, "leaving");
    }
    this.#keepers.recordResponse(peer);
    this.#isPending = true;
    if (this.#starts.get(peer.name) !== start) {
      this.#starts.set(peer.name, start);
      this.#acknowledged = this.#acknowledged.forget(peer.name);
    }
    this.#acknowledged = this.#acknowledged
      .add(peer.name, records.map(({ stream }) => stream));
    this.#metrics.count("origin_pushes_total", { outcome: "acknowledged" });
    this.#metrics.count("origin_records_pushed_total", {}, records.length);
  }
}
