/**
 * Entries that may keep origins, and which of them respond.
 *
 * @module
 */

import { monotonicMs } from "../kernel/mod.ts";
import { KeeperOrder, type ListedPeer } from "../serving/mod.ts";
import type { Logger } from "../telemetry/mod.ts";
import type { OriginFleet } from "./ports.ts";

/** Time for which a keeper is passed over after a failed call, in ms. */
const SILENT_MS = 2_000;

/** Chooses keepers among the registered entries. */
export class Keepers {
  readonly #self: ListedPeer;
  readonly #fleet: OriginFleet;
  readonly #log: Logger;
  /** Monotonic times until which keepers are passed over. */
  readonly #silentUntil = new Map<string, number>();
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
    return (this.#silentUntil.get(peer.name) ?? 0) <= monotonicMs() &&
      this.#fleet.isUsable(peer);
  }

  recordResponse({ name }: ListedPeer): void {
    if (!this.#silentUntil.delete(name)) return;
    this.#log.info("origin_keeper_regained", { peer: name });
  }

  recordFailure({ name }: ListedPeer, detail: string): void {
    const isNew = !this.#silentUntil.has(name);
    this.#silentUntil.set(name, monotonicMs() + SILENT_MS);
    if (isNew) this.#log.warn("origin_keeper_lost", { peer: name, detail });
  }
}
