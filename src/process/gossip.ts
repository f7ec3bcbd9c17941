/**
 * Exchange of what is known about the lists between the processes.
 *
 * Each round asks one peer. A new version is offered to a few peers at once,
 * who offer it on, so that it reaches the fleet in a few hops.
 *
 * @module
 */

import { monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import type { ListsUpdate } from "../lists/mod.ts";
import type { Metrics } from "../telemetry/mod.ts";
import type {
  GossipAnswer,
  GossipQuestion,
  PeerClient,
  PeerInfo,
} from "../wire/mod.ts";
import { ASK_AGE_MS } from "./pacing.ts";
import type { PeerBook } from "./peers.ts";

/** Time between two rounds, in milliseconds. */
const ROUND_MS = 500;
/** The same while the lists are about to count as unconfirmed. */
const URGENT_ROUND_MS = 250;
/** Peers that are offered a new version at once. */
const OFFERS = 3;
/** Longest wait for a peer's answer, in milliseconds. */
const ANSWER_MS = 1_000;
/** Largest update that is offered unasked, in organisations. */
const MAX_OFFERED = 100;

/** What the exchange needs to know of its process. */
export interface GossipSide {
  readonly info: PeerInfo;
  readonly version: number;
  readonly confirmedAgeMs: number;
  /** Takes a peer's answer to a question asked at `askedAt`. */
  onAnswer(answer: GossipAnswer, askedAt: number): void;
}

/** Asks peers and offers them news. */
export class Gossip {
  readonly #side: GossipSide;
  readonly #book: PeerBook;
  readonly #connect: (info: PeerInfo) => PeerClient;
  readonly #metrics: Metrics;
  readonly #random: () => number;

  constructor(opts: {
    side: GossipSide;
    book: PeerBook;
    connect: (info: PeerInfo) => PeerClient;
    metrics: Metrics;
    random: () => number;
  }) {
    this.#side = opts.side;
    this.#book = opts.book;
    this.#connect = opts.connect;
    this.#metrics = opts.metrics;
    this.#random = opts.random;
  }

  /** Asks a peer in each round until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peer = this.#book.next(monotonicMs());
      if (peer) void this.ask(peer, signal);
      const round = this.#side.confirmedAgeMs > ASK_AGE_MS
        ? URGENT_ROUND_MS
        : ROUND_MS;
      await sleep(round * (0.75 + this.#random() / 2), signal);
    }
  }

  /** Offers a new version to some peers. */
  offer(update: ListsUpdate, signal: AbortSignal): void {
    const offer = isSmall(update) ? update : undefined;
    this.#book.sample(OFFERS, monotonicMs())
      .forEach((peer) => void this.ask(peer, signal, offer));
  }

  /** Asks one peer; a failure only counts against the peer. */
  async ask(
    peer: PeerInfo,
    signal: AbortSignal,
    offer?: ListsUpdate,
  ): Promise<void> {
    const askedAt = monotonicMs();
    const { info, version } = this.#side;
    const question: GossipQuestion = { from: info, version, offer };
    try {
      const answer = await this.#connect(peer)
        .exchange(question, timeoutSignal(ANSWER_MS, signal));
      this.#metrics.count("gossip_total", { result: "answered" });
      this.#book.answered(peer);
      this.#side.onAnswer(answer, askedAt);
    } catch {
      this.#metrics.count("gossip_total", { result: "failed" });
      this.#book.failed(peer, monotonicMs());
    }
  }
}

function isSmall(update: ListsUpdate): boolean {
  return update.kind === "delta" && update.delta.set.length <= MAX_OFFERED;
}
