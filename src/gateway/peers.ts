/**
 * Exchanges state with other entries: which of them respond, and which changes
 * this one has not seen yet.
 *
 * @module
 */

import { monotonicMs, sleep } from "../kernel/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
import type { StreamOriginService } from "../origins/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import {
  type ListedPeer,
  type StateChange,
  UNRECORDED,
} from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  EntryPeerClients,
  SyncRequest,
  SyncResponse,
} from "../wire/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import { PeerHealth } from "./peer_health.ts";
import { StatePart } from "./ports.ts";
import { StageOwners } from "./stage_owners.ts";
import {
  decodeChange,
  decodeVersions,
  encodeChange,
  encodeVersions,
} from "./sync_versions.ts";

/** Pause between rounds of requests to peers, in milliseconds. */
const SYNC_PAUSE_MS = 400;
/** The same while there are notices that peers lack, in milliseconds. */
const NEWS_PAUSE_MS = 100;
/** Longest wait for the response of a seed, in milliseconds. */
const SEED_TIMEOUT_MS = 1_000;
/** Lead in uptime that shows that a peer was not restarted, in milliseconds. */
const UPTIME_MARGIN_MS = 2_000;
/**
 * Neighbours that are contacted in each round. Each process is chosen by about
 * as many others, so news reach hundreds of processes in a few rounds.
 */
const NEIGHBOURS = 4;
/** Neighbours that keep copies of the origins of an entry's streams. */
const BACKUPS = 2;
/**
 * Pause between requests to a neighbour while this process hears from the store
 * and there are no notices, in milliseconds.
 */
const CALM_PAUSE_MS = 1_000;
/**
 * Age of the store's last response from which peers are asked more often, in
 * milliseconds.
 */
const STALE_MS = 1_500;
/** Pause between requests to a peer that is not usable, in milliseconds. */
const UNUSABLE_PAUSE_MS = 1_200;
/**
 * Time without a sign of life after which a peer is asked on whose response
 * this process waits, in milliseconds.
 */
const ASK_AWAITED_AFTER_MS = 500;

/** Notices that are exchanged with the state. */
type NoticeExchange = Pick<
  NoticeBoard,
  "messageTo" | "respond" | "handleResponse" | "news"
>;

/** Copies of the origins of streams, which neighbours keep for each other. */
type BackupExchange = Pick<
  StreamOriginService,
  "backupFor" | "backupHeld" | "backupLost" | "keepBackup"
>;

/** Tracks the other entries and exchanges state with them. */
export class Peers {
  readonly #self: ListedPeer;
  readonly #seeds: readonly string[];
  readonly #view: FleetView;
  readonly #clients: EntryPeerClients;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #board: NoticeExchange;
  readonly #backups: () => BackupExchange;
  readonly #records = new Map<string, PeerHealth>();
  /** Number of calls that wait for a response, by peer. */
  readonly #awaited = new Map<string, number>();
  /** Owners of the groups of stage pools. */
  readonly owners: StageOwners;
  readonly #startedAt = monotonicMs();
  /** Order of neighbours for the names of all others. */
  #neighboursOf: { key: string; names: readonly string[] } = {
    key: "",
    names: [],
  };
  /** Process names of a list of peers. */
  #named?: {
    readonly peers: readonly ListedPeer[];
    readonly names: readonly string[];
  };
  #isLeaving = false;

  constructor(
    deps: {
      self: ListedPeer;
      /**
       * Base URLs of possible peers, used until peers are known from the store.
       */
      seeds: readonly string[];
      view: FleetView;
      clients: EntryPeerClients;
      log: Logger;
      metrics: Metrics;
      board: NoticeExchange;
      /** Called from the first exchange on. */
      backups: () => BackupExchange;
    },
  ) {
    this.#self = deps.self;
    this.#seeds = deps.seeds.filter((url) => url !== deps.self.url);
    this.#view = deps.view;
    this.#clients = deps.clients;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#board = deps.board;
    this.#backups = deps.backups;
    this.owners = new StageOwners({
      self: deps.self,
      entries: () => this.entries,
      isUsable: (peer) => this.isUsable(peer),
      state: () => deps.view.state,
      log: deps.log,
    });
  }

  /** Names of the processes that may use a share of a fleet-wide limit. */
  get processNames(): readonly string[] {
    const { peers } = this.#view.state;
    // Each choice of a target asks for the names once for each candidate.
    if (peers !== this.#named?.peers) {
      const names = peers.map(({ name }) => name);
      const isListed = names.includes(this.#self.name);
      this.#named = {
        peers,
        names: isListed ? names : [...names, this.#self.name],
      };
    }
    return this.#named.names;
  }

  /** All entries, this one included, in the order of their registration. */
  get entries(): readonly ListedPeer[] {
    return this.#bySeniority();
  }

  /**
   * True when this process is listed with its current URL and failure domain
   * and no peer has been up for longer: all entries were restarted together, so
   * the order of their registrations, which determines the owners, can stay.
   */
  get mayKeepRegistration(): boolean {
    const own = this.#view.state.peers
      .find(({ name }) => name === this.#self.name);
    const isListed = own?.url === this.#self.url &&
      own.failureDomain === this.#self.failureDomain;
    return isListed &&
      [...this.#records.values()].every(({ startedAt }) =>
        startedAt === undefined ||
        startedAt + UPTIME_MARGIN_MS > this.#startedAt
      );
  }

  /** Reports to peers from now on that this process is leaving. */
  leave(): void {
    this.#isLeaving = true;
  }

  /**
   * Records that a call waits for a peer, until `end` is called. A peer of which
   * nothing is heard meanwhile is asked whether it still responds; `lost` aborts
   * when it does not.
   */
  awaitResponse({ name }: ListedPeer): { lost: AbortSignal; end: () => void } {
    this.#awaited.set(name, (this.#awaited.get(name) ?? 0) + 1);
    let isOpen = true;
    const end = () => {
      if (!isOpen) return;
      isOpen = false;
      const left = (this.#awaited.get(name) ?? 1) - 1;
      if (left > 0) this.#awaited.set(name, left);
      else this.#awaited.delete(name);
    };
    return { lost: this.#record(name).lossSignal, end };
  }

  /** Records a sign of life of a peer other than a response to this class. */
  heard({ name }: ListedPeer): void {
    if (this.#record(name).heard()) this.#logRegained(name);
  }

  /** Marks a peer as silent after a failed call, until it responds again. */
  markFailed(peer: ListedPeer): void {
    this.#markSilent(peer.name, "call failed");
  }

  /** Records that a peer accepts no further work; it finishes what it has. */
  markLeaving({ name }: ListedPeer): void {
    this.#record(name).isLeaving = true;
  }

  /** True while peers are known and none of the contacted ones responds. */
  get isIsolated(): boolean {
    const synced = this.#peersToSync()
      .flatMap(({ name }) => name === undefined ? [] : [name]);
    return synced.length > 0 &&
      synced.every((name) => this.#records.get(name)?.isSilent);
  }

  /** Exchanges state with peers until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#runRounds(signal);
    signal.addEventListener("abort", () => {
      this.#records.forEach((record) => record.end());
    });
  }

  /** Runs rounds with pauses, which news that peers lack shorten. */
  async #runRounds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#round(this.#board.news.aborted);
      await sleep(NEWS_PAUSE_MS, signal);
      if (signal.aborted) return;
      await sleep(SYNC_PAUSE_MS - NEWS_PAUSE_MS, this.#board.news);
    }
  }

  /** Responds to a peer's state request with the changes that it lacks. */
  handleSync({ from, notices, origins, ...sent }: SyncRequest): SyncResponse {
    if (origins) this.#backups().keepBackup(origins);
    const known = this.#versions();
    const versions = decodeVersions(sent, known);
    const isBehind = Object.values(StatePart)
      .some((part) => (versions[part] ?? 0) < (known[part] ?? 0));
    const changes = isBehind
      ? this.#view.state.changes(monotonicMs())
        .filter((change) => change.version > (versions[partOf(change)] ?? 0))
      : [];
    // In a restored store the versions of a part do not order its catalogs.
    const missed = changes.some(({ kind }) => kind === "catalog")
      ? []
      : this.#newerCatalog(sent.catalog);
    const unrecorded = this.#view.unrecordedBuilds
      .map((one) => ({ kind: "build", version: UNRECORDED, ...one }) as const);
    return {
      changes: [...changes, ...missed, ...unrecorded].map(encodeChange),
      ...encodeVersions(known),
      targetsAgeMs: Math.min(this.#view.targetsAgeMs, Number.MAX_SAFE_INTEGER),
      configurationAgeMs: ifKnown(this.#view.configurationAgeMs),
      isLeaving: this.#isLeaving,
      upMs: monotonicMs() - this.#startedAt,
      notices: notices && this.#board.respond(from, notices),
      knowsRollouts: true,
    };
  }

  /** The own catalog, if it is newer than that of a peer which reports one. */
  #newerCatalog(
    peerCatalog = Number.POSITIVE_INFINITY,
  ): readonly StateChange[] {
    const { state } = this.#view;
    const { version = 0 } = state.catalog ?? {};
    return version > peerCatalog ? state.catalogChanges() : [];
  }

  /**
   * Asks each peer that is due and has no request in flight; with news, also
   * peers that are not due.
   */
  #round(hasNews: boolean): void {
    const now = monotonicMs();
    this.#peersToSync().forEach((peer) => {
      const record = peer.name ? this.#record(peer.name) : undefined;
      const isDue = hasNews || now >= (record?.notBefore ?? 0);
      if (record?.isAsked || !isDue) return;
      this.#syncWith(peer, record);
    });
  }

  /** The seeds while no peer is known; a few neighbours and owners later. */
  #peersToSync(): readonly { name?: string; url: string }[] {
    const others = this.#others();
    if (others.length === 0) {
      return this.#seeds.map((url) => ({ url }));
    }
    const watched = [
      ...this.owners.watched(),
      ...others.filter((peer) => this.#isDoubtful(peer)),
    ];
    const names = new Set(watched.map(({ name }) => name));
    this.#records.forEach((record, name) => {
      record.isWatched = names.has(name);
      if (record.isWatched && !record.isSilent) record.notBefore = 0;
    });
    const all = [
      ...watched,
      ...this.#neighbours(others),
      ...this.owners.unusable(),
    ].filter(({ name }) => name !== this.#self.name);
    return [...new Map(all.map((peer) => [peer.name, peer])).values()];
  }

  #neighbours(others: readonly ListedPeer[]): readonly ListedPeer[] {
    const key = others.map(({ name }) => name).join("\n");
    if (key !== this.#neighboursOf.key) {
      const order = rendezvousOrder(others, {
        key: this.#self.name,
        idOf: ({ name }) => name,
      });
      this.#neighboursOf = { key, names: order.map(({ name }) => name) };
    }
    const names = this.#neighboursOf.names.slice(0, NEIGHBOURS);
    return others.filter(({ name }) => names.includes(name));
  }

  /** True while a call waits for a peer of which nothing is heard. */
  #isDoubtful({ name }: ListedPeer): boolean {
    return this.#awaited.has(name) &&
      this.#record(name).heardAgoMs > ASK_AWAITED_AFTER_MS;
  }

  /** True for the neighbours that keep copies of this entry's origins. */
  #isBackup(peer: { name?: string }): peer is { name: string } {
    return peer.name !== undefined &&
      this.#neighboursOf.names.slice(0, BACKUPS).includes(peer.name);
  }

  async #syncWith(
    peer: { name?: string; url: string },
    record: PeerHealth | undefined,
  ): Promise<void> {
    record?.asked();
    const boardKey = peer.name ?? peer.url;
    const origins = this.#isBackup(peer)
      ? [...this.#backups().backupFor(peer.name)]
      : [];
    const request = {
      from: this.#self.name,
      ...encodeVersions(this.#versions()),
      catalog: this.#view.state.catalog?.version,
      notices: this.#board.messageTo(boardKey),
      origins: origins.length > 0 ? origins : undefined,
    };
    const startedAt = monotonicMs();
    const timeoutMs = record?.timeoutMs ?? SEED_TIMEOUT_MS;
    try {
      const response = await this.#clients.sync(peer.url, request, timeoutMs);
      if (peer.name) {
        this.#recordResponse(peer.name, response, monotonicMs() - startedAt);
        this.#backups().backupHeld(peer.name, origins);
      }
      const { notices, targetsAgeMs = Infinity, knowsRollouts = false } =
        response;
      const { configurationAgeMs = Infinity } = response;
      if (notices) this.#board.handleResponse(boardKey, notices);
      const own = this.#versions();
      this.#view.merge(
        response.changes.map((change) =>
          decodeChange(change, own[partOf(change)] ?? 0)
        ),
        decodeVersions(response, own),
        {
          peer: peer.name ?? peer.url,
          targetsReadAt: startedAt - targetsAgeMs,
          configurationReadAt: startedAt - configurationAgeMs,
          knowsRollouts,
        },
      );
    } catch (err) {
      this.#metrics.count("peer_failures_total");
      if (record?.failed()) this.#logLost(peer.name ?? "", String(err));
    } finally {
      if (record) this.#endRequest(record, startedAt);
    }
  }

  #endRequest(record: PeerHealth, startedAt: number): void {
    record.isAsked = false;
    if (record.isSilent || record.isLeaving) {
      record.notBefore = monotonicMs() + UNUSABLE_PAUSE_MS;
      return;
    }
    const isCalm = this.#view.storeAgeMs < STALE_MS && !record.isWatched;
    record.notBefore = isCalm ? startedAt + CALM_PAUSE_MS : 0;
  }

  #recordResponse(name: string, response: SyncResponse, tookMs: number): void {
    const record = this.#record(name);
    if (record.responded(tookMs)) this.#logRegained(name);
    if (record.isLeaving !== response.isLeaving) {
      this.#log.info("peer_leaving", { peer: name, on: response.isLeaving });
    }
    const peerStartedAt = monotonicMs() - response.upMs;
    if (peerStartedAt > (record.startedAt ?? Infinity) + UPTIME_MARGIN_MS) {
      this.#backups().backupLost(name);
    }
    record.startedAt = peerStartedAt;
    record.isLeaving = response.isLeaving;
  }

  #markSilent(name: string, detail: string): void {
    if (this.#record(name).lost()) this.#logLost(name, detail);
  }

  #logLost(peer: string, detail: string): void {
    this.#log.warn("peer_lost", { peer, detail });
  }

  #logRegained(peer: string): void {
    this.#log.info("peer_regained", { peer });
  }

  #record(name: string): PeerHealth {
    const found = this.#records.get(name);
    if (found) return found;
    const created = new PeerHealth();
    this.#records.set(name, created);
    return created;
  }

  /** False for a peer that is silent or leaving; a slow one is usable. */
  isUsable({ name }: ListedPeer): boolean {
    if (name === this.#self.name) return !this.#isLeaving;
    const record = this.#records.get(name);
    if (!record) return true;
    return !record.isSilent && !record.isLeaving;
  }

  #others(): readonly ListedPeer[] {
    return this.#view.state.peers
      .filter(({ name }) => name !== this.#self.name);
  }

  /** All entries in the order of their registration. */
  #bySeniority(): readonly ListedPeer[] {
    const listed = this.#view.state.peers;
    const isListed = listed.some(({ name }) => name === this.#self.name);
    return isListed ? listed : [...listed, this.#self];
  }

  #versions(): Record<string, number> {
    return Object.fromEntries(
      Object.values(StatePart)
        .map((part) => [part, this.#view.versionOf(part)]),
    );
  }
}

/** An age that is not infinite. */
function ifKnown(ageMs: number): number | undefined {
  return Number.isFinite(ageMs) ? ageMs : undefined;
}

function partOf({ kind }: StateChange): StatePart {
  if (kind === "target") return StatePart.Targets;
  if (kind === "catalog" || kind === "domain" || kind === "rollout-order") {
    return StatePart.Configuration;
  }
  return StatePart.Peers;
}
