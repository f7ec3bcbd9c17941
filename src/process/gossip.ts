/**
 * Gossip about the lists between the processes.
 *
 * Each round queries one peer. A new version is offered at once to a few peers,
 * which offer it to others in turn, so that it reaches the fleet in a few hops.
 *
 * @module
 */

import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type { NoticeBoard } from "../notices/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import type {
  GossipRequest,
  GossipResponse,
  PeerClient,
  PeerInfo,
} from "../wire/mod.ts";
import { URGENT_AGE_MS } from "./pacing.ts";
import type { KnownPeers } from "./peers.ts";

/** Interval between rounds, in milliseconds. */
const ROUND_MS = 500;
/** Interval while the lists are about to become unconfirmed. */
const URGENT_ROUND_MS = 250;
/** Shortest interval between rounds because of notices, in milliseconds. */
const NEWS_PAUSE_MS = 500;
/** Number of peers that are offered a new version at once. */
const OFFERED_PEERS = 3;
/** Timeout of a request to a peer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;
/** Largest update that is sent without a request for it, in organisations. */
const MAX_OFFERED_ORGANISATIONS = 100;

/** The local process as its gossip uses it. */
export interface LocalProcess {
  readonly info: PeerInfo;
  readonly version: number;
  readonly confirmedAgeMs: number;
  /** Applies the response of a peer to a request sent at `requestedAt`. */
  onResponse(response: GossipResponse, requestedAt: number): void;
}

/** Queries peers and offers them new versions of the lists. */
export class Gossip {
  readonly #local: LocalProcess;
  readonly #knownPeers: KnownPeers;
  readonly #connect: (info: PeerInfo) => PeerClient;
  readonly #metrics: Metrics;
  readonly #random: () => number;
  readonly #board: NoticeBoard | undefined;

  constructor(opts: {
    local: LocalProcess;
    knownPeers: KnownPeers;
    connect: (info: PeerInfo) => PeerClient;
    metrics: Metrics;
    random: () => number;
    board?: NoticeBoard;
  }) {
    this.#local = opts.local;
    this.#knownPeers = opts.knownPeers;
    this.#connect = opts.connect;
    this.#metrics = opts.metrics;
    this.#random = opts.random;
    this.#board = opts.board;
  }

  /** Queries one peer in each round until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peer = this.#knownPeers.next(monotonicMs());
      if (peer) void this.exchangeWith(peer, signal);
      const roundMs = this.#local.confirmedAgeMs > URGENT_AGE_MS
        ? URGENT_ROUND_MS
        : ROUND_MS;
      await sleep(roundMs * (0.75 + this.#random() / 2), signal);
    }
  }

  /** Tells some peers at once of notices that no peer was sent. */
  async spreadNews(board: NoticeBoard, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(NEWS_PAUSE_MS, signal);
      if (!board.news.aborted) continue;
      await Promise.all(
        this.#knownPeers.sample(OFFERED_PEERS, monotonicMs())
          .map((peer) => this.exchangeWith(peer, signal)),
      );
    }
  }

  /**
   * Contacts some peers about a new version, with the update itself if it is
   * small.
   */
  offer(update: ListsUpdate, signal: AbortSignal): void {
    const offer = isSmall(update) ? update : undefined;
    this.#knownPeers.sample(OFFERED_PEERS, monotonicMs())
      .forEach((peer) => void this.exchangeWith(peer, signal, offer));
  }

  /** Queries one peer; a failure only delays the next query of the peer. */
  async exchangeWith(
    peer: PeerInfo,
    signal: AbortSignal,
    offer?: ListsUpdate,
  ): Promise<void> {
    const requestedAt = monotonicMs();
    const { info, version } = this.#local;
    const notices = this.#board?.messageTo(peer.url);
    const request: GossipRequest = { from: info, version, offer, notices };
    try {
      const response = await this.#connect(peer)
        .exchange(request, timeoutSignal(RESPONSE_TIMEOUT_MS, signal));
      this.#metrics.count("gossip_total", { result: "answered" });
      this.#knownPeers.answered(peer);
      if (response.notices) {
        this.#board?.handleResponse(peer.url, response.notices);
      }
      this.#local.onResponse(response, requestedAt);
    } catch {
      this.#metrics.count("gossip_total", { result: "failed" });
      this.#knownPeers.failed(peer, monotonicMs());
    }
  }
}

function isSmall(update: ListsUpdate): boolean {
  return update.kind === "delta" &&
    update.delta.set.length <= MAX_OFFERED_ORGANISATIONS;
}
