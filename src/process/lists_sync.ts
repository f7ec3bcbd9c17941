/**
 * Keeps a process's lists up to date, from the table service and from its
 * peers, and knows whether the process may take new work under them.
 *
 * @module
 */

import {
  applyFreshness,
  confirmedAge,
  type Freshness,
  type FreshnessEvent,
  NO_FRESHNESS,
  Standing,
  standingOf,
} from "../freshness/mod.ts";
import { invariant, monotonicMs, sleep, timeoutSignal } from "../kernel/mod.ts";
import {
  applyUpdate,
  EMPTY_HISTORY,
  type History,
  type ListsUpdate,
  updateSince,
} from "../lists/mod.ts";
import { type Lists, OutageRule } from "../model/mod.ts";
import type { PlatformError, Table } from "../store/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  GossipAnswer,
  GossipQuestion,
  PeerClient,
  PeerInfo,
  PeerState,
} from "../wire/mod.ts";
import { Gossip, type GossipSide } from "./gossip.ts";
import { type NewerLists, readNewerLists } from "./lists_store.ts";
import { applyAsked, isAskDue, NO_PACING, type Pacing } from "./pacing.ts";
import { Members } from "./members.ts";
import { PeerBook, peersOf } from "./peers.ts";

/** Time between two looks at what is due, in milliseconds. */
const TICK_MS = 200;
/** Longest wait for the store's answer, in milliseconds. */
const STORE_ANSWER_MS = 1_000;
/** Time between two reads of the registrations, for each known process. */
const PEERS_MS_PER_PROCESS = 500;
const MIN_PEERS_MS = 10_000;
/** The same while no peer is known. */
const NO_PEERS_MS = 1_000;
/** Peers named in an answer. */
const NAMED_PEERS = 3;

/** What the lists of a process are kept with. */
export interface ListsSyncOptions {
  readonly info: PeerInfo;
  readonly table: Table;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly connect: (info: PeerInfo) => PeerClient;
  /** Processes known from the settings. */
  readonly seeds?: readonly PeerInfo[];
  readonly rule?: OutageRule;
  readonly random?: () => number;
}

/** The lists that are in force in this process. */
export class ListsSync implements GossipSide {
  readonly info: PeerInfo;
  readonly #opts: ListsSyncOptions;
  readonly #random: () => number;
  readonly #members: Members;
  readonly #book: PeerBook;
  readonly #gossip: Gossip;
  #signal: AbortSignal = new AbortController().signal;
  #history: History = EMPTY_HISTORY;
  #freshness: Freshness = NO_FRESHNESS;
  #pacing: Pacing = NO_PACING;
  #noticed = 0;
  #peersDueAt = -Infinity;
  #appliedAt = 0;

  constructor(opts: ListsSyncOptions) {
    this.#opts = opts;
    this.info = opts.info;
    this.#random = opts.random ?? Math.random;
    this.#members = new Members(opts.table);
    this.#book = new PeerBook({ self: opts.info.url, random: this.#random });
    opts.seeds?.forEach((seed) => this.#book.add(seed));
    this.#learn({ kind: "domains-set", domains: this.#book.domains() });
    this.#gossip = new Gossip({
      side: this,
      book: this.#book,
      connect: opts.connect,
      metrics: opts.metrics,
      random: this.#random,
    });
    this.#exposeMetrics();
  }

  /** Lists in force. */
  get current(): Lists {
    return this.#history.lists;
  }

  /** Version in force. */
  get version(): number {
    return this.current.version;
  }

  /** Time since the lists were last confirmed newest, in milliseconds. */
  get confirmedAgeMs(): number {
    return confirmedAge(this.#freshness, monotonicMs());
  }

  /** What the process may conclude about its lists. */
  get standing(): Standing {
    return standingOf(this.#freshness, {
      now: monotonicMs(),
      home: this.info.domain,
      out: this.current.availability.domainsOut,
      rule: this.#opts.rule ?? OutageRule.EveryDomain,
    });
  }

  /** True while the process may take new work under its lists. */
  get isConfirmed(): boolean {
    const { standing } = this;
    return standing === Standing.Confirmed || standing === Standing.Outage;
  }

  /** Follows the table service and the peers until `signal` aborts. */
  run(signal: AbortSignal): void {
    this.#signal = signal;
    void this.#follow(signal);
    void this.#gossip.run(signal);
  }

  /** Puts newer lists in force; older ones are never applied. */
  apply(update: ListsUpdate): void {
    const before = this.version;
    this.#history = applyUpdate(this.#history, update);
    if (this.#history.lists.version === before) return;
    invariant(
      this.version > before,
      "lists-version-grows",
      () => `${before} to ${this.version}`,
    );
    this.#learn({ kind: "applied", version: this.version });
    this.#appliedAt = Date.now();
    this.#opts.log.info("lists_in_force", { version: this.version });
    const news = updateSince(this.#history, before);
    if (news) this.#gossip.offer(news, this.#signal);
  }

  /**
   * Takes notice of the version on which a peer acts. A process that is behind
   * asks at once: that peer, or any when it cannot be asked.
   */
  notice(version: number, peer?: PeerInfo): void {
    if (version <= this.version) return;
    if (version <= this.#noticed && !peer) return;
    this.#noticed = Math.max(version, this.#noticed);
    const asked = peer ? [peer] : this.#book.sample(1, monotonicMs());
    asked.forEach((one) => void this.#gossip.ask(one, this.#signal));
  }

  /** Answers a peer's question. */
  answer(question: GossipQuestion, ready: boolean): GossipAnswer {
    if (question.from) this.#book.add(question.from);
    if (question.offer) this.apply(question.offer);
    this.notice(question.version, question.from);
    return {
      state: this.peerState(ready),
      update: this.since(question.version),
      domains: [...new Set([this.info.domain, ...this.#freshness.domains])],
      peers: this.#book.sample(NAMED_PEERS, monotonicMs()),
    };
  }

  /** What this process knows, for its peers. */
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

  /** What brings a version up to date; null when nothing does. */
  since(version: number): ListsUpdate | null {
    return updateSince(this.#history, version);
  }

  onAnswer(answer: GossipAnswer, askedAt: number): void {
    const { state, update, domains } = answer;
    if (update) this.apply(update);
    answer.peers.forEach((info) => this.#book.add(info));
    this.#learn({
      kind: "peer-answered",
      domain: state.domain,
      version: state.listsVersion,
      confirmedAgeMs: state.confirmedAgeMs ?? Infinity,
      askedAt,
      domains,
    });
  }

  async #follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#isAskDue()) await this.#ask(signal);
      if (monotonicMs() >= this.#peersDueAt) await this.#readPeers(signal);
      await sleep(TICK_MS, signal);
    }
  }

  #isAskDue(): boolean {
    return isAskDue(this.#pacing, {
      now: monotonicMs(),
      confirmedAgeMs: this.confirmedAgeMs,
      isBehind: this.#noticed > this.version,
    });
  }

  async #ask(signal: AbortSignal): Promise<void> {
    const askedAt = monotonicMs();
    const asked = await readNewerLists(
      this.#opts.table,
      this.version,
      timeoutSignal(STORE_ANSWER_MS, signal),
    );
    this.#pacing = applyAsked({
      now: monotonicMs(),
      ok: asked.isOk(),
      fleet: this.#book.size + 1,
      random: this.#random,
    });
    asked.match(
      (newer) => this.#onNewer(newer, askedAt),
      (err) => this.#onFailure(err),
    );
  }

  #onNewer({ version, update }: NewerLists, askedAt: number): void {
    if (update) this.apply(update);
    this.#learn({ kind: "store-answered", version, askedAt });
  }

  #onFailure(err: PlatformError): void {
    this.#learn({ kind: "store-failed" });
    this.#opts.log.warn("lists_poll_failed", {
      kind: err.kind,
      detail: err.message,
    });
  }

  async #readPeers(signal: AbortSignal): Promise<void> {
    const read = await this.#members.refresh(signal);
    read.map(() => {
      const infos = peersOf(this.#members);
      const { seeds = [] } = this.#opts;
      this.#book.replace([...infos, ...seeds]);
      // Before the own registration shows, others may be missing too.
      if (infos.some(({ url }) => url === this.info.url)) {
        const domains = infos.map(({ domain }) => domain);
        this.#learn({ kind: "domains-read", domains });
      }
    });
    const { size } = this.#book;
    const wait = size === 0
      ? NO_PEERS_MS
      : Math.max(MIN_PEERS_MS, size * PEERS_MS_PER_PROCESS);
    this.#peersDueAt = monotonicMs() + wait * (0.5 + this.#random());
  }

  #learn(event: FreshnessEvent): void {
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
