/**
 * Other entries: which answer, and what they know that this one does not.
 *
 * @module
 */

import { every, monotonicMs } from "../kernel/mod.ts";
import { rendezvousOrder } from "../routing/mod.ts";
import type { ListedPeer } from "../serving/mod.ts";
import type { Logger, Metrics } from "../telemetry/mod.ts";
import type {
  EntryPeerClients,
  SyncAnswer,
  SyncQuestion,
} from "../wire/mod.ts";
import type { FleetView } from "./fleet_view.ts";
import { StatePart } from "./ports.ts";

/** Pause between rounds of questions to peers, in milliseconds. */
const SYNC_PERIOD_MS = 400;
/** Longest wait for a peer's answer, in milliseconds. */
const SYNC_TIMEOUT_MS = 350;
/** Time without an answer after which a peer counts as silent, in ms. */
const SILENT_AFTER_MS = 900;
/** Gain of the moving mean of answer times. */
const ANSWER_GAIN = 0.2;
/** Answer time from which on a peer may count as slow, in milliseconds. */
const SLOW_ANSWER_MS = 200;
/** Multiple of the usual answer time at which it does. */
const SLOW_RATIO = 4;
/** Time by which a peer that was not restarted is older, in milliseconds. */
const OLDER_BY_MS = 2_000;
/** Likely next owners of pools that are asked in each round. */
const CANDIDATE_OWNERS = 1;
/** Neighbours that are asked in each round besides the owners of pools. */
const NEIGHBOURS = 2;

interface PeerRecord {
  /** Monotonic time of the first question without an answer. */
  askedAt?: number;
  isLeaving: boolean;
  isSilent: boolean;
  /** Aborts when it is found to be silent. */
  loss?: AbortController;
  /** Mean time of its answers, in milliseconds. */
  answerMs?: number;
  /** Monotonic time of its start. */
  startedAt?: number;
}

/** Keeps in touch with the other entries. */
export class Peers {
  readonly #self: ListedPeer;
  readonly #seeds: readonly string[];
  readonly #view: FleetView;
  readonly #clients: EntryPeerClients;
  readonly #log: Logger;
  readonly #metrics: Metrics;
  readonly #records = new Map<string, PeerRecord>();
  /** Owner of each group as it was last found. */
  readonly #owners = new Map<string, string>();
  readonly #startedAt = monotonicMs();
  #isLeaving = false;

  constructor(
    deps: {
      self: ListedPeer;
      /** Base URLs at which peers may be found before the store is read. */
      seeds: readonly string[];
      view: FleetView;
      clients: EntryPeerClients;
      log: Logger;
      metrics: Metrics;
    },
  ) {
    this.#self = deps.self;
    this.#seeds = deps.seeds.filter((url) => url !== deps.self.url);
    this.#view = deps.view;
    this.#clients = deps.clients;
    this.#log = deps.log;
    this.#metrics = deps.metrics;
  }

  /** Processes that may spend a share of a limit of the fleet. */
  get processNames(): readonly string[] {
    const names = this.#view.state.peers.map(({ name }) => name);
    return names.includes(this.#self.name)
      ? names
      : [...names, this.#self.name];
  }

  /**
   * True when this process is listed as it is and no peer has been up for
   * longer: all were restarted together, and the order of their registrations,
   * which is that of the owners, can stay.
   */
  get mayKeepRegistration(): boolean {
    const own = this.#view.state.peers
      .find(({ name }) => name === this.#self.name);
    const isListed = own?.url === this.#self.url &&
      own.failureDomain === this.#self.failureDomain;
    return isListed &&
      [...this.#records.values()].every(({ startedAt }) =>
        startedAt === undefined || startedAt + OLDER_BY_MS > this.#startedAt
      );
  }

  /** Tells peers from now on that this process leaves. */
  leave(): void {
    this.#isLeaving = true;
  }

  /**
   * Owner of a group of pools; undefined when it is this process. The entries
   * that are registered longest own the groups, so that an owner changes only
   * when it ends, and not once more when it is back.
   */
  ownerOf(group: string): ListedPeer | undefined {
    const usable = this.#bySeniority().filter((peer) => this.#isUsable(peer));
    const groups = this.#view.state.catalog?.stageGroups ?? [];
    const place = Math.max(0, groups.indexOf(group));
    const owner = usable[place % Math.max(1, usable.length)];
    this.#noteOwner(group, owner?.name ?? this.#self.name);
    return owner?.name === this.#self.name ? undefined : owner;
  }

  #noteOwner(group: string, owner: string): void {
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

  #namesOf(holds: (record: PeerRecord) => boolean): string {
    return [...this.#records].filter(([, record]) => holds(record))
      .map(([name]) => name).join(",");
  }

  /** Aborts when a peer is found to be silent. */
  lossOf({ name }: ListedPeer): AbortSignal {
    const record = this.#record(name);
    record.loss ??= new AbortController();
    return record.loss.signal;
  }

  /** A call to a peer failed: it counts as silent until it answers again. */
  suspect(peer: ListedPeer): void {
    this.#markSilent(peer.name, "call failed");
  }

  /** True while none of the entries that are asked answers. */
  get isAlone(): boolean {
    const watched = this.#watched()
      .flatMap(({ name }) => name === undefined ? [] : [name]);
    return watched.length > 0 &&
      watched.every((name) => this.#records.get(name)?.isSilent);
  }

  /** Asks peers in turn until `signal` aborts. */
  run(signal: AbortSignal): void {
    every(SYNC_PERIOD_MS, () => this.#round(), signal);
  }

  /** Answers a peer's question. */
  answer({ versions }: SyncQuestion): SyncAnswer {
    const known = this.#versions();
    const isBehind = Object.values(StatePart)
      .some((part) => (versions[part] ?? 0) < (known[part] ?? 0));
    const changes = isBehind
      ? this.#view.state.changes()
        .filter((change) => change.version > (versions[partOf(change)] ?? 0))
      : [];
    return {
      changes,
      versions: known,
      storeAgeMs: Math.min(this.#view.storeAgeMs, Number.MAX_SAFE_INTEGER),
      isLeaving: this.#isLeaving,
      upMs: monotonicMs() - this.#startedAt,
    };
  }

  async #round(): Promise<void> {
    const urls = this.#watched();
    await Promise.all(urls.map((peer) => this.#ask(peer)));
  }

  /** Owners of pools, neighbours, and seeds while no peer is known. */
  #watched(): readonly { name?: string; url: string }[] {
    const others = this.#others();
    if (others.length === 0) {
      return this.#seeds.map((url) => ({ url }));
    }
    const order = this.#bySeniority();
    const wanted = CANDIDATE_OWNERS +
      (this.#view.state.catalog?.stageGroups.length ?? 0);
    const usable = order.filter((peer) => this.#isUsable(peer));
    const last = usable[Math.min(wanted, usable.length) - 1];
    const owners = order.slice(0, last ? order.indexOf(last) + 1 : 0);
    const near = rendezvousOrder(others, {
      key: this.#self.name,
      idOf: ({ name }) => name,
    }).slice(0, NEIGHBOURS);
    const all = [...owners, ...near]
      .filter(({ name }) => name !== this.#self.name);
    return [...new Map(all.map((peer) => [peer.name, peer])).values()];
  }

  async #ask(peer: { name?: string; url: string }): Promise<void> {
    const record = peer.name ? this.#record(peer.name) : undefined;
    if (record) record.askedAt ??= monotonicMs();
    const question = { from: this.#self.name, versions: this.#versions() };
    const startedAt = monotonicMs();
    try {
      const answer = await this.#clients
        .sync(peer.url, question, SYNC_TIMEOUT_MS);
      if (peer.name) {
        this.#heard(peer.name, answer, monotonicMs() - startedAt);
      }
      this.#view.learn(answer.changes, answer.versions);
    } catch (err) {
      this.#metrics.count("peer_failures_total");
      const silentMs = monotonicMs() - (record?.askedAt ?? 0);
      if (peer.name && silentMs > SILENT_AFTER_MS) {
        this.#markSilent(peer.name, String(err));
      }
    }
  }

  #heard(name: string, answer: SyncAnswer, tookMs: number): void {
    const record = this.#record(name);
    record.answerMs ??= tookMs;
    record.answerMs += ANSWER_GAIN * (tookMs - record.answerMs);
    if (record.isSilent) this.#log.info("peer_regained", { peer: name });
    if (record.isLeaving !== answer.isLeaving) {
      this.#log.info("peer_leaving", { peer: name, on: answer.isLeaving });
    }
    record.startedAt = monotonicMs() - answer.upMs;
    record.askedAt = undefined;
    record.isSilent = false;
    record.isLeaving = answer.isLeaving;
  }

  #markSilent(name: string, detail: string): void {
    const record = this.#record(name);
    if (record.isSilent) return;
    record.isSilent = true;
    record.loss?.abort();
    record.loss = undefined;
    this.#log.warn("peer_lost", { peer: name, detail });
  }

  #record(name: string): PeerRecord {
    const found = this.#records.get(name);
    if (found) return found;
    const fresh: PeerRecord = {
      isLeaving: false,
      isSilent: false,
    };
    this.#records.set(name, fresh);
    return fresh;
  }

  #isUsable({ name }: ListedPeer): boolean {
    if (name === this.#self.name) return !this.#isLeaving;
    const record = this.#records.get(name);
    if (!record) return true;
    return !record.isSilent && !record.isLeaving && !this.#isSlow(record);
  }

  /** True when a peer answers much later than the others. */
  #isSlow({ answerMs = 0 }: PeerRecord): boolean {
    const times = [...this.#records.values()]
      .flatMap(({ isSilent, answerMs }) => isSilent ? [] : answerMs ?? [])
      .sort((a, b) => a - b);
    const usualMs = times[Math.floor(times.length / 2)] ?? 0;
    return answerMs > SLOW_ANSWER_MS && answerMs > SLOW_RATIO * usualMs;
  }

  #others(): readonly ListedPeer[] {
    return this.#view.state.peers
      .filter(({ name }) => name !== this.#self.name);
  }

  /** All entries, those that are registered longest first. */
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

function partOf(change: { kind: string }): StatePart {
  if (change.kind === "target") return StatePart.Targets;
  if (change.kind === "peer") return StatePart.Peers;
  return StatePart.Configuration;
}
