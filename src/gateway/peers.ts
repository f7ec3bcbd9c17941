/**
 * Exchanges state with other entries: which of them respond, and which changes
 * this one has not seen yet.
 *
 * @module
 */

import { monotonicMs, sleep, Watchdog } from "../kernel/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
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
import { StatePart } from "./ports.ts";

/** Pause between rounds of requests to peers, in milliseconds. */
const SYNC_PAUSE_MS = 400;
/** The same while there are notices that peers lack, in milliseconds. */
const NEWS_PAUSE_MS = 100;
/** Longest wait for the response of a peer, in milliseconds. */
const SYNC_TIMEOUT_MS = 350;
/** Time without a response after which a peer counts as silent, in ms. */
const SILENT_AFTER_MS = 900;
/** Smoothing factor of the moving average of response times. */
const RESPONSE_TIME_SMOOTHING = 0.2;
/** Response time above which a peer may count as slow, in milliseconds. */
const SLOW_RESPONSE_MS = 200;
/** Multiple of the median response time above which it does. */
const SLOW_RATIO = 4;
/** Lead in uptime that shows that a peer was not restarted, in milliseconds. */
const UPTIME_MARGIN_MS = 2_000;
/** Likely next owners of pools that are contacted in each round. */
const STANDBY_OWNERS = 1;
/** Neighbours that are contacted in each round besides the owners of pools. */
const NEIGHBOURS = 2;

/** Notices that are exchanged with the state. */
type NoticeExchange = Pick<
  NoticeBoard,
  "messageTo" | "respond" | "handleResponse" | "news"
>;

interface PeerRecord {
  /** Expires when the peer has been silent since an unanswered request. */
  silence?: Watchdog;
  isLeaving: boolean;
  isSilent: boolean;
  /** Aborts when the peer becomes silent. */
  lossAbort?: AbortController;
  /** Moving average of its response times, in milliseconds. */
  responseMs?: number;
  /** Monotonic time of its start. */
  startedAt?: number;
}

/** Tracks the other entries and exchanges state with them. */
export class Peers {
  readonly #self: ListedPeer;
  readonly #seeds: readonly string[];
  readonly #view: FleetView;
  readonly #clients: EntryPeerClients;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #board: NoticeExchange;
  readonly #records = new Map<string, PeerRecord>();
  /** Last known owner of each group. */
  readonly #owners = new Map<string, string>();
  readonly #startedAt = monotonicMs();
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
    },
  ) {
    this.#self = deps.self;
    this.#seeds = deps.seeds.filter((url) => url !== deps.self.url);
    this.#view = deps.view;
    this.#clients = deps.clients;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
    this.#board = deps.board;
  }

  /** Names of the processes that may use a share of a fleet-wide limit. */
  get processNames(): readonly string[] {
    const names = this.#view.state.peers.map(({ name }) => name);
    return names.includes(this.#self.name)
      ? names
      : [...names, this.#self.name];
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
   * Owner of a group of pools; undefined when it is this process. The entries
   * registered longest own the groups, so that ownership changes only when an
   * owner ends, and not again when it returns.
   */
  ownerOf(group: string): ListedPeer | undefined {
    const usable = this.#bySeniority().filter((peer) => this.isUsable(peer));
    const groups = this.#view.state.catalog?.stageGroups ?? [];
    const index = Math.max(0, groups.indexOf(group));
    const owner = usable[index % Math.max(1, usable.length)];
    this.#recordOwner(group, owner?.name ?? this.#self.name);
    return owner?.name === this.#self.name ? undefined : owner;
  }

  #recordOwner(group: string, owner: string): void {
    if (this.#owners.get(group) === owner) return;
    this.#owners.set(group, owner);
    this.#log.info("stage_owner_changed", {
      group,
      owner,
      silent: this.#namesOf(({ isSilent }) => isSilent),
      leaving: this.#namesOf(({ isLeaving }) => isLeaving),
      slow: this.#namesOf((record) => this.#isSlow(record)),
    });
  }

  #namesOf(predicate: (record: PeerRecord) => boolean): string {
    return [...this.#records].filter(([, record]) => predicate(record))
      .map(([name]) => name).join(",");
  }

  /** Signal that aborts when a peer becomes silent. */
  lossSignalOf({ name }: ListedPeer): AbortSignal {
    const record = this.#record(name);
    record.lossAbort ??= new AbortController();
    return record.lossAbort.signal;
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
      this.#records.forEach(({ silence }) => silence?.end());
    });
  }

  /** Runs rounds with pauses, which news that peers lack shorten. */
  async #runRounds(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#round();
      await sleep(NEWS_PAUSE_MS, signal);
      if (signal.aborted) return;
      await sleep(SYNC_PAUSE_MS - NEWS_PAUSE_MS, this.#board.news);
    }
  }

  /** Responds to a peer's state request with the changes that it lacks. */
  handleSync({ from, versions, notices }: SyncRequest): SyncResponse {
    const known = this.#versions();
    const isBehind = Object.values(StatePart)
      .some((part) => (versions[part] ?? 0) < (known[part] ?? 0));
    const changes = isBehind
      ? this.#view.state.changes()
        .filter((change) => change.version > (versions[partOf(change)] ?? 0))
      : [];
    const unrecorded = this.#view.unrecordedBuilds
      .map((one) => ({ kind: "build", version: UNRECORDED, ...one }) as const);
    return {
      changes: [...changes, ...unrecorded],
      versions: known,
      targetsAgeMs: Math.min(this.#view.targetsAgeMs, Number.MAX_SAFE_INTEGER),
      isLeaving: this.#isLeaving,
      upMs: monotonicMs() - this.#startedAt,
      notices: notices && this.#board.respond(from, notices),
    };
  }

  async #round(): Promise<void> {
    const urls = this.#peersToSync();
    await Promise.all(urls.map((peer) => this.#syncWith(peer)));
  }

  /**
   * Owners of pools with their standby, the unusable entries registered before
   * them, and neighbours; the seeds while no peer is known.
   */
  #peersToSync(): readonly { name?: string; url: string }[] {
    const others = this.#others();
    if (others.length === 0) {
      return this.#seeds.map((url) => ({ url }));
    }
    const order = this.#bySeniority();
    const ownerCount = STANDBY_OWNERS +
      (this.#view.state.catalog?.stageGroups.length ?? 0);
    const usable = order.filter((peer) => this.isUsable(peer));
    const lastOwner = usable[Math.min(ownerCount, usable.length) - 1];
    const owners = order.slice(0, lastOwner ? order.indexOf(lastOwner) + 1 : 0);
    const neighbours = rendezvousOrder(others, {
      key: this.#self.name,
      idOf: ({ name }) => name,
    }).slice(0, NEIGHBOURS);
    const all = [...owners, ...neighbours]
      .filter(({ name }) => name !== this.#self.name);
    return [...new Map(all.map((peer) => [peer.name, peer])).values()];
  }

  async #syncWith(peer: { name?: string; url: string }): Promise<void> {
    const record = peer.name ? this.#record(peer.name) : undefined;
    if (record) record.silence ??= new Watchdog(SILENT_AFTER_MS);
    const boardKey = peer.name ?? peer.url;
    const request = {
      from: this.#self.name,
      versions: this.#versions(),
      notices: this.#board.messageTo(boardKey),
    };
    const startedAt = monotonicMs();
    try {
      const response = await this.#clients
        .sync(peer.url, request, SYNC_TIMEOUT_MS);
      if (peer.name) {
        this.#recordResponse(peer.name, response, monotonicMs() - startedAt);
      }
      const { changes, versions, notices, targetsAgeMs = Infinity } = response;
      if (notices) this.#board.handleResponse(boardKey, notices);
      this.#view.merge(changes, versions, startedAt - targetsAgeMs);
    } catch (err) {
      this.#metrics.count("peer_failures_total");
      if (peer.name && record?.silence?.isExpired) {
        this.#markSilent(peer.name, String(err));
      }
    }
  }

  #recordResponse(name: string, response: SyncResponse, tookMs: number): void {
    const record = this.#record(name);
    record.responseMs ??= tookMs;
    record.responseMs += RESPONSE_TIME_SMOOTHING * (tookMs - record.responseMs);
    if (record.isSilent) this.#log.info("peer_regained", { peer: name });
    if (record.isLeaving !== response.isLeaving) {
      this.#log.info("peer_leaving", { peer: name, on: response.isLeaving });
    }
    record.startedAt = monotonicMs() - response.upMs;
    record.silence?.end();
    record.silence = undefined;
    record.isSilent = false;
    record.isLeaving = response.isLeaving;
  }

  #markSilent(name: string, detail: string): void {
    const record = this.#record(name);
    if (record.isSilent) return;
    record.isSilent = true;
    record.lossAbort?.abort();
    record.lossAbort = undefined;
    this.#log.warn("peer_lost", { peer: name, detail });
  }

  #record(name: string): PeerRecord {
    const found = this.#records.get(name);
    if (found) return found;
    const created: PeerRecord = {
      isLeaving: false,
      isSilent: false,
    };
    this.#records.set(name, created);
    return created;
  }

  /** False for a peer that is silent, leaving or much slower than the others. */
  isUsable({ name }: ListedPeer): boolean {
    if (name === this.#self.name) return !this.#isLeaving;
    const record = this.#records.get(name);
    if (!record) return true;
    return !record.isSilent && !record.isLeaving && !this.#isSlow(record);
  }

  /** True when a peer responds much more slowly than the others. */
  #isSlow({ responseMs = 0 }: PeerRecord): boolean {
    const times = [...this.#records.values()]
      .flatMap(({ isSilent, responseMs }) => isSilent ? [] : responseMs ?? [])
      .sort((a, b) => a - b);
    const usualMs = times[Math.floor(times.length / 2)] ?? 0;
    return responseMs > SLOW_RESPONSE_MS && responseMs > SLOW_RATIO * usualMs;
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

function partOf({ kind }: StateChange): StatePart {
  if (kind === "target") return StatePart.Targets;
  if (kind === "catalog" || kind === "domain") return StatePart.Configuration;
  return StatePart.Peers;
}
