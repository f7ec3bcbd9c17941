/**
 * Keeps the lists of a process up to date from the table service and from its
 * peers, and decides whether the process may accept new work under them.
 *
 * @module
 */

import {
  applyFreshness,
  confirmedAge,
  type Freshness,
  type FreshnessEvent,
  FreshnessStatus,
  freshnessStatusOf,
  INITIAL_FRESHNESS,
} from "../freshness/mod.ts";
import { invariant, monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import {
  applyUpdate,
  EMPTY_LISTS_HISTORY,
  type ListsHistory,
  type ListsUpdate,
  updateSince,
} from "../lists/mod.ts";
import { type Lists, OutageRule } from "../model/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
import type { PlatformError, Table } from "../store/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  GossipRequest,
  GossipResponse,
  PeerClient,
  PeerInfo,
  PeerState,
} from "../wire/mod.ts";
import { Gossip, type LocalProcess } from "./gossip.ts";
import { type NewerLists, readNewerLists } from "./lists_store.ts";
import { applyPoll, INITIAL_PACING, isPollDue, type Pacing } from "./pacing.ts";
import { Members } from "./members.ts";
import { KnownPeers, peersOf } from "./peers.ts";

/** Interval between checks for scheduled reads, in milliseconds. */
const TICK_MS = 200;
/** Timeout of a poll of the table service, in milliseconds. */
const STORE_TIMEOUT_MS = 1_000;
/**
 * Interval between reads of the registrations, in milliseconds for each known
 * peer.
 */
const PEER_READ_MS_PER_PROCESS = 500;
/** Lower bound of that interval, before jitter. */
const MIN_PEER_READ_MS = 10_000;
/** Interval between reads while no peer is known. */
const READ_MS_WITHOUT_PEERS = 1_000;
/** Number of peers listed in a gossip response. */
const PEERS_PER_RESPONSE = 3;

/** Options of a {@linkcode ListsSync}. */
export interface ListsSyncOptions {
  readonly info: PeerInfo;
  readonly table: Table;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly connect: (info: PeerInfo) => PeerClient;
  /** Processes listed in the settings. */
  readonly seeds?: readonly PeerInfo[];
  readonly rule?: OutageRule;
  readonly random?: () => number;
  /** Notices that are exchanged with the lists. */
  readonly board?: NoticeBoard;
}

/** Holds the lists in force in this process and keeps them up to date. */
export class ListsSync implements LocalProcess {
  readonly info: PeerInfo;
  readonly #opts: ListsSyncOptions;
  readonly #random: () => number;
  readonly #members: Members;
  readonly #knownPeers: KnownPeers;
  readonly #gossip: Gossip;
  #signal: AbortSignal = new AbortController().signal;
  #history: ListsHistory = EMPTY_LISTS_HISTORY;
  #freshness: Freshness = INITIAL_FRESHNESS;
  #pacing: Pacing = INITIAL_PACING;
  #newestSeen = 0;
  #nextPeerReadAt = -Infinity;
  #appliedAt = 0;

  constructor(opts: ListsSyncOptions) {
    this.#opts = opts;
    this.info = opts.info;
    this.#random = opts.random ?? Math.random;
    this.#members = new Members(opts.table);
    this.#knownPeers = new KnownPeers({
      self: opts.info.url,
      random: this.#random,
    });
    opts.seeds?.forEach((seed) => this.#knownPeers.add(seed));
    this.#updateFreshness({
      kind: "domains-set",
      domains: this.#knownPeers.domains(),
    });
    this.#gossip = new Gossip({
      local: this,
      knownPeers: this.#knownPeers,
      connect: opts.connect,
      metrics: opts.metrics,
      random: this.#random,
      board: opts.board,
    });
    this.#exposeMetrics();
  }

  /** Returns the lists in force. */
  get current(): Lists {
    return this.#history.lists;
  }

  /** Returns the version of the lists in force. */
  get version(): number {
    return this.current.version;
  }

  /**
   * Returns the time since the lists were last confirmed as the newest, in
   * milliseconds.
   */
  get confirmedAgeMs(): number {
    return confirmedAge(this.#freshness, monotonicMs());
  }

  /** Returns the freshness status of the lists. */
  get standing(): FreshnessStatus {
    return freshnessStatusOf(this.#freshness, {
      now: monotonicMs(),
      localDomain: this.info.domain,
      out: this.current.availability.domainsOut,
      rule: this.#opts.rule ?? OutageRule.EveryDomain,
    });
  }

  /** True while the process may accept new work under its lists. */
  get isConfirmed(): boolean {
    const { standing } = this;
    return standing === FreshnessStatus.Confirmed ||
      standing === FreshnessStatus.Outage;
  }

  /** Polls the table service and queries peers until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#signal = signal;
    void this.#pollLoop(signal);
    void this.#gossip.run(signal);
    const { board } = this.#opts;
    if (board) void this.#gossip.spreadNews(board, signal);
  }

  /** Puts newer lists in force; an update that is not newer is ignored. */
  apply(update: ListsUpdate): void {
    const before = this.version;
    this.#history = applyUpdate(this.#history, update);
    if (this.#history.lists.version === before) return;
    invariant(
      this.version > before,
      "lists-version-grows",
      () => `${before} to ${this.version}`,
    );
    this.#updateFreshness({ kind: "applied", version: this.version });
    this.#appliedAt = Date.now();
    this.#opts.log.info("lists_in_force", { version: this.version });
    const offer = updateSince(this.#history, before);
    if (offer) this.#gossip.offer(offer, this.#signal);
  }

  /**
   * Records the lists version that another process uses. A process that is
   * behind queries `peer` at once. Without `peer` it queries a random one, but
   * only when the version is the highest seen so far.
   */
  observeVersion(version: number, peer?: PeerInfo): void {
    if (version <= this.version) return;
    if (version <= this.#newestSeen && !peer) return;
    this.#newestSeen = Math.max(version, this.#newestSeen);
    const peers = peer ? [peer] : this.#knownPeers.sample(1, monotonicMs());
    peers.forEach((one) => void this.#gossip.exchangeWith(one, this.#signal));
  }

  /** Responds to the request of a peer. */
  respond(request: GossipRequest, ready: boolean): GossipResponse {
    if (request.from) this.#knownPeers.add(request.from);
    if (request.offer) this.apply(request.offer);
    this.observeVersion(request.version, request.from);
    const { from, notices } = request;
    return {
      notices: from && notices && this.#opts.board?.respond(from.url, notices),
      state: this.peerState(ready),
      update: this.updateSince(request.version),
      domains: [...new Set([this.info.domain, ...this.#freshness.domains])],
      peers: this.#knownPeers.sample(PEERS_PER_RESPONSE, monotonicMs()),
    };
  }

  /** Returns the state of this process as peers receive it. */
  peerState(ready: boolean): PeerState {
    const age = this.confirmedAgeMs;
    return {
      process: this.info.name,
      domain: this.info.domain,
      listsVersion: this.version,
      confirmedAgeMs: Number.isFinite(age) ? age : null,
      standing: this.standing,
      ready,
    };
  }

  /** Returns the update from `version`; null when there is none. */
  updateSince(version: number): ListsUpdate | null {
    return updateSince(this.#history, version);
  }

  /** Applies the response of a peer to a request sent at `requestedAt`. */
  onResponse(response: GossipResponse, requestedAt: number): void {
    const { state, update, domains } = response;
    if (update) this.apply(update);
    response.peers.forEach((info) => this.#knownPeers.add(info));
    this.#updateFreshness({
      kind: "peer-responded",
      domain: state.domain,
      version: state.listsVersion,
      confirmedAgeMs: state.confirmedAgeMs ?? Infinity,
      requestedAt,
      domains,
    });
  }

  async #pollLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#isPollDue()) await this.#poll(signal);
      if (monotonicMs() >= this.#nextPeerReadAt) await this.#readPeers(signal);
      await sleep(TICK_MS, signal);
    }
  }

  #isPollDue(): boolean {
    return isPollDue(this.#pacing, {
      now: monotonicMs(),
      confirmedAgeMs: this.confirmedAgeMs,
      isBehind: this.#newestSeen > this.version,
    });
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const requestedAt = monotonicMs();
    const result = await readNewerLists(
      this.#opts.table,
      this.version,
      timeoutSignal(STORE_TIMEOUT_MS, signal),
    );
    this.#pacing = applyPoll({
      now: monotonicMs(),
      ok: result.isOk(),
      fleetSize: this.#knownPeers.size + 1,
      random: this.#random,
    });
    result.match(
      (newer) => this.#onStoreResponse(newer, requestedAt),
      (err) => this.#onStoreFailure(err),
    );
  }

  #onStoreResponse({ version, update }: NewerLists, requestedAt: number): void {
    if (update) this.apply(update);
    this.#updateFreshness({
      kind: "store-responded",
      version,
      requestedAt,
    });
  }

  #onStoreFailure(err: PlatformError): void {
    this.#updateFreshness({ kind: "store-failed" });
    this.#opts.log.warn("lists_poll_failed", {
      kind: err.kind,
      detail: err.message,
    });
  }

  async #readPeers(signal: AbortSignal): Promise<void> {
    const refreshed = await this.#members.refresh(signal);
    refreshed.map(() => {
      const infos = peersOf(this.#members);
      const { seeds = [] } = this.#opts;
      this.#knownPeers.replace([...infos, ...seeds]);
      // Until the process's own registration is listed, registrations of other
      // processes may be missing too.
      if (infos.some(({ url }) => url === this.info.url)) {
        const domains = infos.map(({ domain }) => domain);
        this.#updateFreshness({ kind: "domains-listed", domains });
      }
    });
    const { size } = this.#knownPeers;
    const intervalMs = size === 0
      ? READ_MS_WITHOUT_PEERS
      : Math.max(MIN_PEER_READ_MS, size * PEER_READ_MS_PER_PROCESS);
    this.#nextPeerReadAt = monotonicMs() + intervalMs * (0.5 + this.#random());
  }

  #updateFreshness(event: FreshnessEvent): void {
    const before = this.#freshness;
    this.#freshness = applyFreshness(before, event);
    invariant(
      this.#freshness.confirmedAt === before.confirmedAt ||
        (this.#freshness.confirmedAt ?? Infinity) <= monotonicMs(),
      "confirmation-not-from-the-future",
    );
  }

  #exposeMetrics(): void {
    const { metrics } = this.#opts;
    metrics.gauge("lists_version", () => this.version);
    metrics.gauge("lists_confirmed_age_ms", () => this.confirmedAgeMs);
    metrics.gauge("lists_applied_at_ms", () => this.#appliedAt);
    metrics.gauge("lists_takes_work", () => this.isConfirmed ? 1 : 0);
  }
}
