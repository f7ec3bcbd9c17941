/**
 * Services that share origins over a simulated network, for tests under a
 * paused clock.
 *
 * @module
 */

import { sleep } from "../kernel/mod.ts";
import type { ListedPeer, PoolCandidates } from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type { OriginAnswer, OriginReceipt } from "../wire/mod.ts";
import type { OriginClients } from "./ports.ts";
import { StreamOriginService } from "./stream_origin_service.ts";

/** Exchange of copies for an entry that has no streams. */
export const NO_BACKUPS = {
  backupFor: () => [],
  backupHeld: () => {},
  backupLost: () => {},
  keepBackup: () => {},
};

/** How an entry responds to its peers. */
export type EntryMode = "up" | "silent" | "refusing" | "old";

const LATENCY_MS = 5;

/** One entry of the simulated fleet. */
export interface SimEntry {
  readonly peer: ListedPeer;
  service: StreamOriginService;
  mode: EntryMode;
  abort: AbortController;
  /** Calls that the entry has received, by procedure. */
  readonly received: { keep: number; find: number };
}

/** Entries that share origins. */
export class SimOriginFleet {
  readonly entries: readonly SimEntry[];
  /** Builds of every pool by the view of all entries. */
  builds: ReadonlySet<string | undefined> = new Set(["v1"]);
  /** Names of entries whose view differs, and the builds that they know. */
  readonly ownBuilds = new Map<string, ReadonlySet<string | undefined>>();
  /** Names of entries that do not reach the store. */
  stale: readonly string[] = [];
  /** Pools that may have begun any stream. */
  candidates: PoolCandidates = { pools: ["plain"], isSure: true };
  ambiguousPools: ReadonlySet<string> = new Set();
  #registrations: ReadonlyMap<string, number>;

  constructor(count: number, domains = 3) {
    const peers = Array.from({ length: count }, (_, i) => ({
      name: `entry-${i}`,
      url: `http://entry-${i}`,
      failureDomain: `d${i % domains}`,
    }));
    this.#registrations = new Map(peers.map(({ name }) => [name, 1]));
    this.entries = peers.map((peer) => ({
      peer,
      ...this.#start(peer, peers),
      mode: "up",
      received: { keep: 0, find: 0 },
    }));
  }

  /** Returns an entry by its index. */
  entry(i: number): SimEntry {
    const entry = this.entries[i];
    if (!entry) throw new Error(`No entry ${i}`);
    return entry;
  }

  /** Restarts an entry, which loses its records. */
  restart(i: number, opts: { registersAnew: boolean }): void {
    const entry = this.entry(i);
    entry.abort.abort();
    const peers = this.entries.map(({ peer }) => peer);
    Object.assign(entry, this.#start(entry.peer, peers));
    if (!opts.registersAnew) return;
    const version = (this.#registrations.get(entry.peer.name) ?? 0) + 1;
    this.#registrations = new Map(this.#registrations)
      .set(entry.peer.name, version);
    this.recheck();
  }

  /** Tells all entries that the fleet has changed. */
  recheck(): void {
    this.entries.forEach(({ service }) => service.recheck());
  }

  /** Names of all entries. */
  get names(): readonly string[] {
    return this.entries.map(({ peer }) => peer.name);
  }

  /** Names of the entries that know a stream without asking. */
  holdersOf(stream: string): readonly string[] {
    return this.entries
      .filter(({ service }) => service.known(stream) !== undefined)
      .map(({ peer }) => peer.name);
  }

  stop(): void {
    this.entries.forEach(({ abort }) => abort.abort());
  }

  #start(peer: ListedPeer, peers: readonly ListedPeer[]) {
    const abort = new AbortController();
    const service = new StreamOriginService({
      self: peer,
      fleet: {
        peers: () => peers,
        registrations: () => this.#registrations,
        isUsable: () => true,
        buildsOf: () => this.ownBuilds.get(peer.name) ?? this.builds,
        storeEra: () => 1,
        candidates: () => this.candidates,
        ambiguousPools: () => this.ambiguousPools,
        readChanges: () => Promise.resolve(!this.stale.includes(peer.name)),
      },
      clients: this.#clients(),
      log: SILENT_LOGGER,
      metrics: new Metrics(),
    });
    service.run(abort.signal);
    return { service, abort };
  }

  #clients(): OriginClients {
    return {
      keepOrigins: (url, batch, signal) =>
        this.#call(url, signal, (entry): OriginReceipt => {
          entry.received.keep += 1;
          return entry.service.keepOrigins(batch);
        }),
      findOrigin: (url, query, signal) =>
        this.#call(url, signal, (entry): Promise<OriginAnswer> => {
          entry.received.find += 1;
          return entry.service.findOrigin(query);
        }),
    };
  }

  async #call<T>(
    url: string,
    signal: AbortSignal,
    respond: (entry: SimEntry) => T | Promise<T>,
  ): Promise<T> {
    const entry = this.entries.find(({ peer }) => peer.url === url);
    await sleep(LATENCY_MS, signal);
    if (!entry || entry.mode === "refusing") throw new Error("refused");
    if (entry.mode === "old") throw new Error("No procedure on this path");
    if (entry.mode === "silent") {
      await new Promise((_, reject) => {
        signal.addEventListener("abort", () => reject(signal.reason));
        if (signal.aborted) reject(signal.reason);
      });
    }
    const response = await respond(entry);
    await sleep(LATENCY_MS, signal);
    if (signal.aborted) throw signal.reason;
    return response;
  }
}
