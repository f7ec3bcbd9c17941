/**
 * Services that share origins over a simulated network, for tests under a
 * paused clock.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { sleep } from "../kernel/mod.ts";
import type {
  DefaultOrigins,
  ListedPeer,
  ObservedOrigins,
  PoolCandidates,
  StreamOrigin,
} from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type {
  OriginAnswer,
  OriginReceipt,
  RecordReceipt,
} from "../wire/mod.ts";
import { DefaultOriginKeeper } from "./default_origin_keeper.ts";
import type {
  DefaultsRead,
  OriginClients,
  OriginFleet,
  OriginRow,
  OriginsRead,
  OriginStore,
} from "./ports.ts";
import { OriginWriters } from "./origin_writers.ts";
import { StoredOrigins } from "./stored_origins.ts";
import { StreamOriginService } from "./stream_origin_service.ts";

/** Exchange of copies for an entry that has no streams. */
export const NO_BACKUPS = {
  backupFor: () => [],
  backupHeld: () => {},
  backupLost: () => {},
  keepBackup: () => {},
};

/** Route of all streams of the simulation. */
export const ROUTE = { hostname: "api.example", pathPrefix: "/r/" };

type StoreResult<T> = Promise<Result<T, { readonly kind: string }>>;

/** Store in memory that can fail, be slow and be restored from a copy. */
export class MemoryOriginStore implements OriginStore {
  rows = new Map<string, OriginRow>();
  defaults: { version: number; defaults: DefaultOrigins } | undefined;
  era = 1;
  isAway = false;
  /** Time until a call is answered, in milliseconds. */
  latencyMs = 0;
  writes = 0;
  reads = 0;
  #version = 0;

  /** Returns a copy to restore later. */
  copy(): Pick<MemoryOriginStore, "rows" | "defaults"> {
    return { rows: new Map(this.rows), defaults: this.defaults };
  }

  restore(copy: Pick<MemoryOriginStore, "rows" | "defaults">): void {
    this.rows = new Map(copy.rows);
    this.defaults = copy.defaults;
    this.era += 1;
  }

  write(row: OriginRow, removed: readonly string[]): StoreResult<void> {
    this.writes += 1;
    return this.#answer(() => {
      this.rows.set(row.key, row);
      removed.forEach((key) => this.rows.delete(key));
    });
  }

  read(): StoreResult<OriginsRead> {
    this.reads += 1;
    return this.#answer(() => ({
      defaults: { era: this.era, row: this.defaults },
      rows: [...this.rows.values()]
        .sort((a, b) => a.key < b.key ? -1 : 1),
    }));
  }

  readDefaults(): StoreResult<DefaultsRead> {
    return this.#answer(() => ({ era: this.era, row: this.defaults }));
  }

  writeDefaults(
    defaults: DefaultOrigins,
    expected: number,
  ): StoreResult<boolean> {
    return this.#answer(() => {
      if ((this.defaults?.version ?? 0) !== expected) return false;
      this.defaults = { version: ++this.#version, defaults };
      return true;
    });
  }

  async #answer<T>(perform: () => T): StoreResult<T> {
    if (this.isAway) return err({ kind: "unreachable" });
    const value = perform();
    if (this.latencyMs > 0) await sleep(this.latencyMs);
    return ok(value);
  }
}

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
  readonly received: { keep: number; record: number; find: number };
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
  /** What all entries see of the routes and builds; undefined: not read. */
  observed: ObservedOrigins | undefined;
  /** Names of entries that record no streams, as older programs. */
  recordless: readonly string[] = [];
  /** Undefined for a fleet that stores nothing. */
  readonly store: MemoryOriginStore | undefined;
  #registrations: ReadonlyMap<string, number>;

  constructor(count: number, domains = 3, store?: MemoryOriginStore) {
    this.store = store;
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
      received: { keep: 0, record: 0, find: 0 },
    }));
  }

  /** Returns an entry by its index. */
  entry(i: number): SimEntry {
    const entry = this.entries[i];
    if (!entry) throw new Error(`No entry ${i}`);
    return entry;
  }

  /** Begins a stream at an entry. */
  begin(
    i: number,
    stream: string,
    origin: StreamOrigin,
  ): Promise<void> | undefined {
    return this.entry(i).service.begun({ stream, route: ROUTE, origin });
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
    const fleet: OriginFleet = {
      peers: () => peers,
      registrations: () => this.#registrations,
      isUsable: () => true,
      buildsOf: () => this.ownBuilds.get(peer.name) ?? this.builds,
      observed: () => this.observed,
      storeEra: () => this.store?.era ?? 1,
      candidates: () => this.candidates,
      ambiguousPools: () => this.ambiguousPools,
      readChanges: () => Promise.resolve(!this.stale.includes(peer.name)),
    };
    const log = SILENT_LOGGER;
    const metrics = new Metrics();
    const store = this.recordless.includes(peer.name) ? undefined : this.store;
    const service = new StreamOriginService({
      self: peer,
      fleet,
      clients: this.#clients(),
      stored: store && {
        records: new StoredOrigins({
          store,
          self: peer.name,
          writers: new OriginWriters({
            self: peer,
            fleet,
            clients: this.#clients(),
            log,
            metrics,
          }),
          log,
          metrics,
        }),
        defaults: new DefaultOriginKeeper({
          store,
          self: peer,
          fleet,
          log,
          metrics,
        }),
      },
      log,
      metrics,
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
      recordOrigins: (url, batch, signal) =>
        this.#call(url, signal, (entry): Promise<RecordReceipt> => {
          entry.received.record += 1;
          return entry.service.recordOrigins(batch);
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
