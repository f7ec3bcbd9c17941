/**
 * Which entries write the origins of streams to the store. In a large fleet each
 * entry's share of the store's writes is small, and streams would wait for it;
 * a few entries write for the others instead.
 *
 * @module
 */

import { monotonicMs, timeoutSignal } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type { OriginClients, OriginFleet, StoredOrigin } from "./ports.ts";

/** Most entries of which each writes for itself. */
export const MAX_DIRECT_ENTRIES = 50;
/** Entries of a larger fleet for each one that writes. */
export const ENTRIES_PER_WRITER = 16;
/** Time for which a choice of a writer is used, in milliseconds. */
const CHOICE_MS = 2_000;
/** Time for which a writer that failed is passed over, in milliseconds. */
const FAILED_MS = 5_000;
/** Longest wait for the answer of a writer, in milliseconds. */
const SEND_TIMEOUT_MS = 1_000;

/** Services that the choice of writers uses. */
export interface OriginWritersDeps {
  readonly self: ListedPeer;
  readonly fleet: Pick<OriginFleet, "peers" | "isUsable">;
  readonly clients: Pick<OriginClients, "recordOrigins">;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Chooses the entry that writes for this one. */
export class OriginWriters {
  readonly #deps: OriginWritersDeps;
  /** Monotonic times until which writers are passed over, by name. */
  readonly #failedUntil = new Map<string, number>();
  #writers: readonly ListedPeer[] = [];
  #chosenAt = Number.NEGATIVE_INFINITY;

  constructor(deps: OriginWritersDeps) {
    this.#deps = deps;
  }

  /** Number of entries that write to the store, including this one if it does. */
  get count(): number {
    const entries = this.#deps.fleet.peers().length;
    return entries <= MAX_DIRECT_ENTRIES
      ? Math.max(1, entries)
      : Math.ceil(entries / ENTRIES_PER_WRITER);
  }

  /** Returns the entry that writes for this one; undefined: itself. */
  choose(): ListedPeer | undefined {
    if (this.#deps.fleet.peers().length <= MAX_DIRECT_ENTRIES) return undefined;
    const now = monotonicMs();
    if (now >= this.#chosenAt + CHOICE_MS) {
      this.#chosenAt = now;
      this.#writers = this.#order();
    }
    const { self, fleet } = this.#deps;
    const isWriter = this.#writers.some(({ name }) => name === self.name);
    return isWriter
      ? undefined
      : this.#writers.find((peer) =>
        now >= (this.#failedUntil.get(peer.name) ?? 0) && fleet.isUsable(peer)
      );
  }

  /** Has a writer record origins; false when it may not have done so. */
  async send(
    writer: ListedPeer,
    records: readonly StoredOrigin[],
    signal: AbortSignal,
  ): Promise<boolean> {
    const { self, clients, log, metrics } = this.#deps;
    const isRecorded = await clients.recordOrigins(
      writer.url,
      { from: self.name, records: [...records] },
      timeoutSignal(SEND_TIMEOUT_MS, signal),
    ).then((receipt) => receipt.isRecorded, () => false);
    metrics.count("origin_relays_total", {
      outcome: isRecorded ? "ok" : "failed",
    });
    if (isRecorded) return true;
    log.warn("origin_writer_failed", { peer: writer.name });
    this.#failedUntil.set(writer.name, monotonicMs() + FAILED_MS);
    return false;
  }

  /** The writers of the fleet, this entry's first choice first. */
  #order(): readonly ListedPeer[] {
    const { self, fleet } = this.#deps;
    const idOf = ({ name }: ListedPeer) => name;
    const all = rendezvousOrder(fleet.peers(), { key: "origin-writers", idOf });
    return rendezvousOrder(all.slice(0, this.count), { key: self.name, idOf });
  }
}
