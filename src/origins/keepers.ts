/**
 * Entries that may keep origins, and which of them respond.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { KeeperOrder, type ListedPeer } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { OriginFleet } from "./ports.ts";

/** Pause before the first probe of a keeper after a failed call, in ms. */
const PROBE_PAUSE_MS = 500;
/** Longest pause between probes; each is twice as long as the one before. */
const MAX_PROBE_PAUSE_MS = 30_000;

/** A keeper that has not responded since a failed call. */
interface Suspect {
  readonly probeAt: number;
  readonly pauseMs: number;
}

/** Chooses keepers among the registered entries. */
export class Keepers {
  readonly #self: ListedPeer;
  readonly #fleet: OriginFleet;
  readonly #log: Logger;
  readonly #suspects = new Map<string, Suspect>();
  #order = new KeeperOrder([]);
  #registrations = "";

  constructor(
    deps: { self: ListedPeer; fleet: OriginFleet; log: Logger },
  ) {
    this.#self = deps.self;
    this.#fleet = deps.fleet;
    this.#log = deps.log;
  }

  /** Order of the other entries by stream; renewed when they change. */
  get order(): KeeperOrder {
    const others = this.#fleet.peers()
      .filter(({ name }) => name !== this.#self.name);
    const registrations = others
      .map(({ name, url, failureDomain }) => `${name} ${url} ${failureDomain}`)
      .sort().join("\n");
    if (registrations !== this.#registrations) {
      this.#registrations = registrations;
      this.#order = new KeeperOrder(others);
    }
    return this.#order;
  }

  isUsable(peer: ListedPeer): boolean {
    return !this.#suspects.has(peer.name) && this.#fleet.isUsable(peer);
  }

  /** Keepers that have not responded for some time and are to be tried again. */
  dueProbes(): readonly ListedPeer[] {
    if (this.#suspects.size === 0) return [];
    const now = monotonicMs();
    return this.order.peers.filter(({ name }) =>
      (this.#suspects.get(name)?.probeAt ?? Infinity) <= now
    );
  }

  recordResponse({ name }: ListedPeer): void {
    if (!this.#suspects.delete(name)) return;
    this.#log.info("origin_keeper_regained", { peer: name });
  }

  /** Records a failed call; true if a probe has failed, too. */
  recordFailure({ name }: ListedPeer, detail: string): boolean {
    const before = this.#suspects.get(name);
    if (before && monotonicMs() < before.probeAt) return false;
    const pauseMs = before
      ? Math.min(MAX_PROBE_PAUSE_MS, 2 * before.pauseMs)
      : PROBE_PAUSE_MS;
    const probeAt = monotonicMs() + pauseMs;
    this.#suspects.set(name, { probeAt, pauseMs });
    if (!before) this.#log.warn("origin_keeper_lost", { peer: name, detail });
    return before !== undefined;
  }
}
