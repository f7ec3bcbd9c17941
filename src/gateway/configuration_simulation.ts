/**
 * Simulation of gateways that follow one configuration, for tests under a paused
 * clock: a store that loses its history or returns from a copy, links that fall
 * silent or refuse, and gateways that start anew.
 *
 * @module
 */

import { err, ok, type Result } from "neverthrow";
import { monotonicMs, sleep } from "../kernel/mod.ts";
import { NoticeBoard } from "../notices/mod.ts";
import {
  eraOf,
  type ListedPeer,
  numberOf,
  type StateChange,
  versionInEra,
} from "../serving/mod.ts";
import { Metrics, SILENT_LOGGER } from "../telemetry/mod.ts";
import type { EntryPeerClients, SyncRequest } from "../wire/mod.ts";
import { FleetView } from "./fleet_view.ts";
import { Peers } from "./peers.ts";
import {
  INITIAL_LIMITS,
  type SourceError,
  StatePart,
  type StateRead,
  type StateSource,
} from "./ports.ts";

const LATENCY_MS = 5;

/** Exchange of copies of gateways that have no streams. */
const NO_BACKUPS = {
  backupFor: () => [],
  backupHeld: () => {},
  backupLost: () => {},
  keepBackup: () => {},
};

/** How a link handles calls. */
export const SimLink = {
  Up: "up",
  /** Calls, also those in flight, get no response. */
  Silent: "silent",
  /** Calls fail at once. */
  Refusing: "refusing",
} as const;
export type SimLink = typeof SimLink[keyof typeof SimLink];

const LOST: SourceError = { kind: "unreachable", detail: "simulated" };

/** Rows of the store as of some moment. */
interface StoreState {
  /** Operator's version of the configuration. */
  readonly config: number;
  /** Version of its row. */
  readonly row: number;
  /** Newest version of the store. */
  readonly version: number;
}

/** The store. */
export class SimStore {
  #state: StoreState = { config: 1, row: 1, version: 1 };
  #era = 1;
  #oldest = 0;
  #waiters: (() => void)[] = [];
  readonly #entries: readonly ListedPeer[];

  constructor(entries: readonly ListedPeer[]) {
    this.#entries = entries;
  }

  /** Writes a configuration as the operator would. */
  write(config: number): void {
    const version = this.#state.version + 1;
    this.#state = { config, row: version, version };
    this.#notify();
  }

  /** Writes a row that no part of the state contains. */
  writeOther(): void {
    this.#state = { ...this.#state, version: this.#state.version + 1 };
  }

  copy(): StoreState {
    return this.#state;
  }

  /** Returns to a copy; later versions are given out again. */
  restore(copy: StoreState): void {
    this.#state = copy;
    this.#era += 1;
    this.#oldest = Math.min(this.#oldest, copy.version);
    this.#notify();
  }

  /** Discards the history of changes. */
  compact(): void {
    this.#oldest = this.#state.version;
  }

  snapshot(part: StatePart): Result<StateRead, SourceError> {
    return ok({
      changes: this.#changesAfter(part, 0),
      version: versionInEra(this.#era, this.#state.version),
    });
  }

  async follow(
    part: StatePart,
    { after, waitMs }: { readonly after: number; readonly waitMs: number },
  ): Promise<Result<StateRead, SourceError>> {
    const from = numberOf(after);
    const era = this.#era;
    const endAt = monotonicMs() + waitMs;
    const isDue = () =>
      era !== this.#era || this.#changesAfter(part, from).length > 0;
    while (!isDue() && monotonicMs() < endAt) {
      await this.#change(endAt - monotonicMs());
    }
    if (eraOf(after) !== this.#era) {
      return err({ kind: "restored", era: this.#era });
    }
    if (from < this.#oldest) return err({ kind: "history-lost" });
    return ok({
      changes: this.#changesAfter(part, from),
      version: versionInEra(this.#era, this.#state.version),
    });
  }

  #changesAfter(part: StatePart, after: number): readonly StateChange[] {
    const { config, row } = this.#state;
    const version = versionInEra(this.#era, row);
    if (part === StatePart.Configuration) {
      const catalog = {
        version: config,
        routes: [],
        pools: [],
        limits: INITIAL_LIMITS,
      };
      return row > after ? [{ kind: "catalog", version, catalog }] : [];
    }
    if (part !== StatePart.Peers || after > 0) return [];
    return this.#entries.map((peer) => ({
      kind: "peer",
      version: versionInEra(this.#era, 1),
      name: peer.name,
      peer,
    }));
  }

  #change(ms: number): Promise<void> {
    const changed = new Promise<void>((resolve) => this.#waiters.push(resolve));
    return Promise.race([changed, sleep(ms)]);
  }

  #notify(): void {
    this.#waiters.splice(0).forEach((notify) => notify());
  }
}

/** One gateway; a restart replaces its view and its peers. */
export class SimGateway {
  readonly self: ListedPeer;
  /** Link to the store. */
  storeLink: SimLink = SimLink.Up;
  /** Link to the other gateways. */
  peerLink: SimLink = SimLink.Up;
  readonly #store: SimStore;
  readonly #fleet: () => readonly SimGateway[];
  #abort = new AbortController();
  #view!: FleetView;
  #peers!: Peers;

  constructor(
    self: ListedPeer,
    store: SimStore,
    fleet: () => readonly SimGateway[],
  ) {
    this.self = self;
    this.#store = store;
    this.#fleet = fleet;
    this.restart();
  }

  /** Operator's version of the configuration in force; 0 while none is known. */
  get config(): number {
    return this.#view.state.catalog?.version ?? 0;
  }

  restart(): void {
    this.#abort.abort();
    this.#abort = new AbortController();
    const log = SILENT_LOGGER;
    const metrics = new Metrics();
    this.#view = new FleetView({
      source: this.#source(),
      bounds: { contactMs: 3_000, drainMs: 2_000 },
      log,
      metrics,
    });
    this.#peers = new Peers({
      self: this.self,
      seeds: this.#fleet().map(({ self }) => self.url),
      view: this.#view,
      clients: this.#clients(),
      log,
      metrics,
      board: new NoticeBoard({ metrics }),
      backups: () => NO_BACKUPS,
    });
    this.#view.run(this.#abort.signal);
    this.#peers.run(this.#abort.signal);
  }

  stop(): void {
    this.#abort.abort();
  }

  #source(): StateSource {
    const through = <T>(
      call: () => Result<T, SourceError> | Promise<Result<T, SourceError>>,
      signal: AbortSignal,
    ) =>
      exchange(() => this.storeLink, call, signal)
        .catch((): Result<T, SourceError> => err(LOST));
    const unused = () => Promise.resolve(err(LOST));
    return {
      snapshot: (part, signal) =>
        through(() => this.#store.snapshot(part), signal),
      follow: (part, from, signal) =>
        through(() => this.#store.follow(part, from), signal),
      register: unused,
      recordBuilds: unused,
      recordQuarantines: unused,
      recordRollout: unused,
      origins: {
        write: unused,
        read: unused,
        readDefaults: unused,
        writeDefaults: unused,
      },
    };
  }

  #clients(): EntryPeerClients {
    const sync = (url: string, request: SyncRequest, timeoutMs: number) => {
      const peer = this.#fleet().find(({ self }) => self.url === url);
      if (!peer) return Promise.reject(new Error("no such gateway"));
      const link = () =>
        this.peerLink === SimLink.Up ? peer.peerLink : this.peerLink;
      return exchange(
        link,
        () => peer.#peers.handleSync(request),
        AbortSignal.any([after(timeoutMs), this.#abort.signal]),
      );
    };
    return { sync } as unknown as EntryPeerClients;
  }
}

/** Makes a call over a link; rejects when the link or `signal` fails it. */
async function exchange<T>(
  link: () => SimLink,
  call: () => T | Promise<T>,
  signal: AbortSignal,
): Promise<T> {
  const given = new Promise<never>((_, reject) => {
    const fail = () => reject(new Error("given up"));
    if (signal.aborted) fail();
    signal.addEventListener("abort", fail);
  });
  const run = async () => {
    await pass(link());
    const response = await call();
    await pass(link());
    return response;
  };
  return await Promise.race([run(), given]);
}

/** Passes one message; never resolves on a silent link. */
async function pass(link: SimLink): Promise<void> {
  if (link === SimLink.Refusing) throw new Error("refused");
  if (link === SimLink.Silent) await new Promise<never>(() => {});
  await sleep(LATENCY_MS);
}

function after(ms: number): AbortSignal {
  const abort = new AbortController();
  sleep(ms).then(() => abort.abort());
  return abort.signal;
}
